//! Bounds of days that can be computed by hand.

use seamhatch_lab::bound::plan::{DayPlan, DayPlanError};
use seamhatch_lab::bound::program::solve;

/// A kind of request that asks the one service for `calls` calls of `work` seconds in all.
struct RequestCase {
    credit: f64,
    late_credit: f64,
    deadline: f64,
    /// As arrays of a plan.
    arrivals: &'static str,
    calls: u32,
    work: f64,
    /// The share of the credit, computed by hand.
    bound: f64,
}

/// One that earns 1 at once and nothing later.
fn prompt(arrivals: &'static str, work: f64, bound: f64) -> RequestCase {
    RequestCase { credit: 1.0, late_credit: 0.0, deadline: 0.0, arrivals, calls: 1, work, bound }
}

struct BoundCase {
    name: &'static str,
    seconds: u32,
    servers: &'static str,
    refusals: &'static str,
    requests: Vec<RequestCase>,
    credit: f64,
    full_seconds: u32,
}

impl BoundCase {
    fn plan(&self) -> DayPlan {
        let requests: Vec<String> = self.requests.iter().map(RequestCase::plan).collect();
        let text = format!(
            "seconds = {}\nservices = [{{ name = \"s\", servers = [{}], refusals = [{}] }}]\nrequests = [{}]\n",
            self.seconds,
            self.servers,
            self.refusals,
            requests.join(", ")
        );
        toml::from_str(&text).expect(self.name)
    }
}

impl RequestCase {
    fn plan(&self) -> String {
        format!(
            "{{ name = \"a\", credit = {}, late_credit = {}, objective = 0, deadline = {}, arrivals = [{}], \
             work = [{{ service = \"s\", calls = {}, seconds = {} }}] }}",
            self.credit, self.late_credit, self.deadline, self.arrivals, self.calls, self.work
        )
    }
}

#[test]
fn bounds_are_those_worked_out_by_hand() {
    let cases = [
        BoundCase {
            name: "there is room",
            seconds: 4,
            servers: "{ slots = 2, speed = 1.0 }",
            refusals: "",
            requests: vec![prompt("{ from = 0, per_second = 10 }", 0.1, 1.0)],
            credit: 1.0,
            full_seconds: 0,
        },
        // 2 slots do 20 of 40 a second.
        BoundCase {
            name: "twice too much",
            seconds: 4,
            servers: "{ slots = 2, speed = 1.0 }",
            refusals: "",
            requests: vec![prompt("{ from = 0, per_second = 40 }", 0.1, 0.5)],
            credit: 0.5,
            full_seconds: 4,
        },
        // Of 1 second of work, the first takes 0.5 and earns 3 for 0.1; the second earns 1 for 0.05 and has
        // the rest: 10 of 20.
        BoundCase {
            name: "what earns most for its work goes first",
            seconds: 3,
            servers: "{ slots = 1, speed = 1.0 }",
            refusals: "",
            requests: vec![
                RequestCase { credit: 3.0, ..prompt("{ from = 0, per_second = 5 }", 0.1, 1.0) },
                prompt("{ from = 0, per_second = 20 }", 0.05, 0.5),
            ],
            credit: 25.0 / 35.0,
            full_seconds: 3,
        },
        // 20 come in the first second alone, 10 can be served in each: the others a second later, late.
        BoundCase {
            name: "late answers earn less",
            seconds: 2,
            servers: "{ slots = 1, speed = 1.0 }",
            refusals: "",
            requests: vec![RequestCase {
                late_credit: 0.4,
                deadline: 1.0,
                ..prompt("{ from = 0, per_second = 20 }, { from = 1, per_second = 0 }", 0.1, 0.7)
            }],
            credit: 0.7,
            full_seconds: 2,
        },
        // The same in a day of that one second: what came in it may be served after its end.
        BoundCase {
            name: "answers after the end of the day",
            seconds: 1,
            servers: "{ slots = 1, speed = 1.0 }",
            refusals: "",
            requests: vec![RequestCase {
                late_credit: 0.4,
                deadline: 1.0,
                ..prompt("{ from = 0, per_second = 20 }", 0.1, 0.7)
            }],
            credit: 0.7,
            full_seconds: 1,
        },
        // One of two servers is away for half of the day, the other half as fast then: 20, 20, 5, 5 of 20.
        BoundCase {
            name: "servers away and slow",
            seconds: 4,
            servers: "{ slots = 1, speed = 1.0, away = [{ from = 2, to = 4 }] }, \
                      { slots = 1, speed = 1.0, slow = [{ from = 2, to = 4, by = 2.0 }] }",
            refusals: "",
            requests: vec![prompt("{ from = 0, per_second = 20 }", 0.1, 50.0 / 80.0)],
            credit: 50.0 / 80.0,
            full_seconds: 4,
        },
        // A call is refused by three servers in 1 of 8 times; two calls succeed in (7/8)^2.
        BoundCase {
            name: "servers that refuse half of the calls",
            seconds: 2,
            servers: "{ slots = 9, speed = 1.0 }",
            refusals: "{ from = 0, to = 2, share = 0.5 }",
            requests: vec![RequestCase {
                calls: 2,
                ..prompt("{ from = 0, per_second = 10 }", 0.1, 49.0 / 64.0)
            }],
            credit: 49.0 / 64.0,
            full_seconds: 0,
        },
    ];
    for case in cases {
        let plan = case.plan();
        plan.check().expect(case.name);
        let bound = solve(&plan).expect(case.name);
        assert!((bound.credit - case.credit).abs() < 1e-6, "{}: {bound:?}", case.name);
        for (request, wanted) in bound.requests.iter().zip(&case.requests) {
            assert!((request.credit - wanted.bound).abs() < 1e-6, "{}: {bound:?}", case.name);
        }
        assert_eq!(bound.services[0].full_seconds, case.full_seconds, "{}: {bound:?}", case.name);
    }
}

struct WrongCase {
    replaced: &'static str,
    with: &'static str,
    told: &'static str,
}

#[test]
fn figures_without_meaning_are_named() {
    const PLAN: &str = r#"
        seconds = 4
        services = [{ name = "s", servers = [{ slots = 2, speed = 1.0 }] }]
        requests = [{ name = "a", credit = 1.0, late_credit = 0.3, objective = 1, deadline = 2,
            arrivals = [{ from = 0, per_second = 10 }], work = [{ service = "s", calls = 1, seconds = 0.1 }] }]
    "#;
    let cases = [
        WrongCase {
            replaced: "speed = 1.0",
            with: "speed = 0.0",
            told: "speed of a server of s is 0: give more than 0",
        },
        WrongCase { replaced: "seconds = 4", with: "seconds = 0", told: "seconds is 0: give at least 1" },
        WrongCase {
            replaced: "deadline = 2",
            with: "deadline = 0",
            told: "deadline of a is 0: give the objective or more",
        },
        WrongCase { replaced: "service = \"s\"", with: "service = \"t\"", told: "asks for service \"t\"" },
    ];
    for case in cases {
        let plan: DayPlan = toml::from_str(&PLAN.replace(case.replaced, case.with)).expect("parses");
        let error: DayPlanError = plan.check().expect_err(case.with);
        assert!(error.to_string().contains(case.told), "{error}");
    }
}
