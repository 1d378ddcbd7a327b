//! The bound as a linear program over steps of a second.
//!
//! For each kind of request, each second in which some arrive and each second in which they may be served, a variable says how many
//! are served then. A service's work in a second is at most what its servers can do. Where a figure isn't known the bound is
//! loose on purpose: requests wait only for capacity, a request that fails costs no work, and a refused call may be sent to other
//! servers without a retry budget.

use super::plan::{DayPlan, DaySecond, RequestPlan, ServicePlan};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};
use thiserror::Error;

/// Most servers that a call is sent to, as by the daemon: the first and two more.
const MOST_SERVERS: i32 = 3;

/// Why the program could not be solved.
#[derive(Debug, Error)]
pub enum BoundError {
    /// The solver found no solution, although serving nothing always is one.
    #[error("the solver failed: {0}; check the plan for figures that differ by many orders of magnitude")]
    Failed(#[from] microlp::Error),
    /// The solver ended without a solution.
    #[error("the solver was interrupted before it had a solution; shorten the day")]
    Interrupted,
}

/// The most that any admission and placement could earn.
#[derive(Debug, Clone)]
pub struct DayBound {
    /// Credit earned over credit owed, 0 to 1.
    pub credit: f64,
    /// By kind of request.
    pub requests: Vec<RequestBound>,
    /// By service.
    pub services: Vec<ServiceBound>,
}

/// One kind of request under the bound.
#[derive(Debug, Clone)]
pub struct RequestBound {
    /// Its name.
    pub name: String,
    /// Credit earned over credit owed, 0 to 1.
    pub credit: f64,
}

/// One service under the bound.
#[derive(Debug, Clone)]
pub struct ServiceBound {
    /// Its name.
    pub name: String,
    /// Seconds of the day in which nearly all of its capacity is used.
    pub full_seconds: u32,
}

/// Share of a service's capacity from which it counts as full. Chosen: the solver's rounding lies below.
const FULL: f64 = 0.999;

/// The requests of one kind that arrived in one second and are served in one second.
struct Served {
    request: usize,
    second: DaySecond,
    credit: f64,
    variable: Variable,
}

/// The bound of `plan`, which has been checked.
///
/// # Errors
/// The solver's, if it finds no solution.
pub fn solve(plan: &DayPlan) -> Result<DayBound, BoundError> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let served = add_served(plan, &mut problem);
    add_capacities(plan, &served, &mut problem);
    let SolveOutcome::Solution(solution) = problem.solve()? else {
        return Err(BoundError::Interrupted);
    };
    let amount = |served: &Served| solution[served.variable];
    let earned: Vec<f64> = (0..plan.requests.len()).map(|request| earned(&served, request, amount)).collect();
    let owed: Vec<f64> = plan.requests.iter().map(|request| owed(plan, request)).collect();
    let requests = plan.requests.iter().enumerate().map(|(index, request)| RequestBound {
        name: request.name.clone(),
        credit: share(earned[index], owed[index]),
    });
    let services = plan.services.iter().map(|service| ServiceBound {
        name: service.name.clone(),
        full_seconds: full_seconds(plan, service, &served, amount),
    });
    Ok(DayBound {
        credit: share(earned.iter().sum(), owed.iter().sum()),
        requests: requests.collect(),
        services: services.collect(),
    })
}

/// Credit that the requests of one kind earn in the solution.
fn earned(served: &[Served], request: usize, amount: impl Fn(&Served) -> f64) -> f64 {
    let of_kind = served.iter().filter(|served| served.request == request);
    of_kind.map(|served| served.credit * amount(served)).sum()
}

/// Credit that the requests of one kind would earn if all were served in time.
fn owed(plan: &DayPlan, request: &RequestPlan) -> f64 {
    (0..plan.seconds).map(|second| request.arriving(second)).sum::<f64>() * request.credit
}

/// Seconds of the day in which the solution uses nearly all of a service's capacity.
fn full_seconds(
    plan: &DayPlan,
    service: &ServicePlan,
    served: &[Served],
    amount: impl Fn(&Served) -> f64,
) -> u32 {
    let work = |served: &Served| amount(served) * work_at(&plan.requests[served.request], &service.name);
    let is_full = |second: &DaySecond| {
        let used: f64 = served.iter().filter(|served| served.second == *second).map(&work).sum();
        used > 0.0 && used >= FULL * service.capacity(*second)
    };
    (0..plan.seconds).filter(is_full).count() as u32
}

/// Adds a variable for each kind, second of arrival and second of service; no more are served than arrive.
fn add_served(plan: &DayPlan, problem: &mut Problem) -> Vec<Served> {
    let mut all = Vec::new();
    for (index, request) in plan.requests.iter().enumerate() {
        for arrival in 0..plan.seconds {
            let arriving = request.arriving(arrival);
            if arriving == 0.0 {
                continue;
            }
            let last = arrival + request.deadline.ceil() as DaySecond;
            let mut row = Vec::new();
            for second in arrival..=last {
                let early = f64::from(second - arrival) <= request.objective.ceil();
                let earns = if early { request.credit } else { request.late_credit };
                let credit = earns * success(plan, request, second);
                let variable = problem.add_var(credit, (0.0, arriving));
                row.push((variable, 1.0));
                all.push(Served { request: index, second, credit, variable });
            }
            problem.add_constraint(row.as_slice(), ComparisonOp::Le, arriving);
        }
    }
    all
}

/// Limits the work at each service in each second to its capacity.
fn add_capacities(plan: &DayPlan, served: &[Served], problem: &mut Problem) {
    // Requests that arrive at the end of the day may be served after it.
    let end = served.iter().map(|served| served.second + 1).max().unwrap_or_default();
    for service in &plan.services {
        for second in 0..end {
            let row: Vec<(Variable, f64)> = served
                .iter()
                .filter(|served| served.second == second)
                .map(|served| (served.variable, work_at(&plan.requests[served.request], &service.name)))
                .filter(|(_, work)| *work > 0.0)
                .collect();
            if !row.is_empty() {
                problem.add_constraint(row.as_slice(), ComparisonOp::Le, service.capacity(second));
            }
        }
    }
}

fn work_at(request: &RequestPlan, service: &str) -> f64 {
    request.work.iter().filter(|work| work.service == service).map(|work| work.seconds).sum()
}

/// Probability that each call of a request finds a server that doesn't refuse it.
fn success(plan: &DayPlan, request: &RequestPlan, second: DaySecond) -> f64 {
    let of_work = request.work.iter().filter_map(|work| {
        let service = plan.services.iter().find(|service| service.name == work.service)?;
        let refused = service.refusal_share(second).powi(MOST_SERVERS);
        Some((1.0 - refused).powi(work.calls as i32))
    });
    of_work.product()
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
