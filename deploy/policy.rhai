// The policy of the deployment. Operators may change it; see docs/OPERATIONS.md.
// It reads the route alone, so each route is decided once per configuration.
fn classify(request) {
    switch request.route.rank {
        0 => "critical",
        1 => "normal",
        2 => "bulk",
        _ => "background"
    }
}
