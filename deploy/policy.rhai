// The policy of this deployment: a decision of its operators, who may change it (docs/OPERATIONS.md). Which kinds of routes
// may be repeated is decided in platform/src/operator.rs.
// It reads the route alone, so each route is decided once per configuration.
fn classify(request) {
    switch request.route.rank {
        0 => "critical",
        1 => "normal",
        2 => "bulk",
        _ => "background"
    }
}
