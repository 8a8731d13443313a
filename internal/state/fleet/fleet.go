// Package fleet describes what the entries route to where the platform keeps the
// configuration and the endpoints themselves check what they are sent: routes,
// services, client accounts, endpoints and versions of weights.
//
// All values are immutable; a change is a new value.
//
// # Usage
//
//	c := fleet.NewConfiguration(7,
//		fleet.WithServices(fleet.NewService("faq")),
//		fleet.WithRoutes(fleet.NewRoute("r1", "shop.example", "/faq/",
//			fleet.WithKind(fleet.Idempotent), fleet.WithSplits(fleet.NewSplit("faq", 1)))),
//		fleet.WithAccount(fleet.NewAccount("shop-1"), "key"))
//	route := c.Route("shop.example", "/faq/returns")
package fleet
