// Package weights measures how long a model takes onto N replicas and what it
// draws from the origin.
//
// The measurement runs in virtual time. It drives the decisions of the agents
// themselves, swarm.Picker and swarm.UploadLimiter, over a model of the links in which
// concurrent transfers share each link evenly. Beside them stand two baselines on
// the same links, and the computed lower bound.
//
// # Usage
//
//	report := weights.Measure(weights.WithReplicas(8, 210), weights.WithSeed(1))
//	err := report.Table(os.Stdout, false)
//	err = report.Plot("docs/plots")
package weights
