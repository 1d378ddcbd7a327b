//! Shedding by cost: buckets of requests if a service on their path sheds, and priority of begun chains over
//! first calls.

use seamhatch_core::Instant;
use seamhatch_core::admission::{
    Admission, AdmissionPolicy, AdmissionQueue, AdmissionRequest, CallKind, Dequeued, Ticket,
};
use seamhatch_core::chain_cost::{ChainCostTable, ChainUsage, MAX_SERVICES, ServiceUsage};
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::entry_floor::EntryFloorTable;
use seamhatch_core::identity::RootId;
use seamhatch_core::priority::{AdmissionFloor, BUCKETS, Priority, PriorityClass};
use std::collections::{BTreeSet, HashMap};

const CLASS: PriorityClass = PriorityClass::Normal;
const START: Instant = Instant(10 * SECOND);

fn after(seconds: u64) -> Instant {
    START.plus(seconds * SECOND)
}

fn usage(service: &str, slot_ms: u32) -> ServiceUsage {
    ServiceUsage { service: service.to_owned(), calls: 1, slot_ms }
}

/// Mean bucket of 2,000 requests of each kind, with the kinds interleaved.
fn mean_buckets(
    table: &mut ChainCostTable,
    kinds: &[&str],
    bottleneck: Option<&str>,
    now: Instant,
) -> Vec<f64> {
    let mut sums = vec![0.0; kinds.len()];
    for root in 0..2_000 {
        for (kind, sum) in kinds.iter().zip(&mut sums) {
            let priority = table.priority(kind, CLASS, RootId(root), bottleneck, now);
            assert!(priority.bucket < BUCKETS && priority.class == CLASS);
            *sum += f64::from(priority.bucket);
        }
    }
    sums.iter().map(|sum| sum / 2_000.0).collect()
}

/// Guards against an expensive kind that displaces several cheap requests, and against usage that is wrong,
/// missing or old: buckets are then drawn as if no cost were known, or the factor stays within its bounds.
#[test]
fn buckets_follow_the_cost_at_the_bottleneck() {
    type Report = (&'static str, &'static str, u32);
    struct Case {
        name: &'static str,
        reports: Vec<Report>,
        bottleneck: Option<&'static str>,
        /// Seconds from the reports to the requests.
        later: u64,
        /// Mean buckets of a cheap and of an expensive kind.
        expected: [f64; 2],
    }
    // The mean of uniform draws is 63.5. A factor above 1 moves larger values into the last bucket.
    let cases = [
        Case {
            name: "one three times as expensive",
            reports: vec![("cheap", "deep", 40), ("expensive", "deep", 120)],
            bottleneck: Some("deep"),
            later: 0,
            expected: [31.5, 84.7],
        },
        Case {
            name: "no service sheds",
            reports: vec![("cheap", "deep", 40), ("expensive", "deep", 120)],
            bottleneck: None,
            later: 0,
            expected: [63.5, 63.5],
        },
        Case {
            name: "a restarted daemon",
            reports: vec![],
            bottleneck: Some("deep"),
            later: 0,
            expected: [63.5, 63.5],
        },
        Case {
            name: "usage of another service than the bottleneck",
            reports: vec![("cheap", "front", 40), ("expensive", "front", 120)],
            bottleneck: Some("deep"),
            later: 0,
            expected: [63.5, 63.5],
        },
        Case {
            name: "a kind without known cost",
            reports: vec![("expensive", "deep", 120)],
            bottleneck: Some("deep"),
            later: 0,
            expected: [63.5, 63.5],
        },
        Case {
            name: "costs that were confirmed a minute ago",
            reports: vec![("cheap", "deep", 40), ("expensive", "deep", 120)],
            bottleneck: Some("deep"),
            later: 60,
            expected: [31.5, 84.7],
        },
        Case {
            name: "costs that were confirmed longer ago",
            reports: vec![("cheap", "deep", 40), ("expensive", "deep", 120)],
            bottleneck: Some("deep"),
            later: 61,
            expected: [63.5, 63.5],
        },
        Case {
            name: "usage beyond all bounds",
            reports: vec![("cheap", "deep", 1), ("expensive", "deep", u32::MAX)],
            bottleneck: Some("deep"),
            later: 0,
            expected: [31.5, 95.2],
        },
        Case {
            name: "usage of nothing",
            reports: vec![("cheap", "deep", 0), ("expensive", "deep", 0)],
            bottleneck: Some("deep"),
            later: 0,
            expected: [63.5, 63.5],
        },
    ];
    for case in cases {
        let mut table = ChainCostTable::default();
        for (kind, service, slot_ms) in case.reports {
            table.learn(kind, &[usage(service, slot_ms)], START);
        }
        let means = mean_buckets(&mut table, &["cheap", "expensive"], case.bottleneck, after(case.later));
        for (mean, expected) in means.iter().zip(case.expected) {
            assert!((mean - expected).abs() < 2.5, "{}: {means:?}", case.name);
        }
    }
}

/// Guards against a change of what is shed if costs are not known, since daemons of two releases run side by
/// side.
#[test]
fn without_costs_the_bucket_follows_from_the_root_id() {
    let mut table = ChainCostTable::default();
    for root in (0..10_000).map(|root| RootId(root * 77_777_777)) {
        let known = Priority::new(CLASS, root);
        let hash = xxhash_rust::xxh3::xxh3_64(&root.0.to_le_bytes());
        assert_eq!(u64::from(known.bucket), hash % u64::from(BUCKETS));
        assert_eq!(table.priority("kind", CLASS, root, Some("deep"), START), known);
    }
}

/// Guards against one server that reports wrong usage: it moves the mean of a kind only by its weight, and
/// the answers of other servers bring the mean back.
#[test]
fn wrong_usage_of_one_answer_is_outweighed() {
    let mut table = ChainCostTable::default();
    let cost = |table: &ChainCostTable| table.costs(usize::MAX, START)[0].slot_ms;
    for _ in 0..100 {
        table.learn("kind", &[usage("deep", 100)], START);
    }
    table.learn("kind", &[usage("deep", 0)], START);
    assert!((90.0..100.0).contains(&cost(&table)), "{}", cost(&table));
    table.learn("kind", &[usage("deep", u32::MAX)], START);
    assert!(cost(&table) < 4_000.0, "{}", cost(&table));
    for _ in 0..100 {
        table.learn("kind", &[usage("deep", 100)], START);
    }
    assert!((99.0..110.0).contains(&cost(&table)), "{}", cost(&table));
}

/// Guards against memory that grows with the kinds or services named in requests and reports.
#[test]
fn memory_is_bounded() {
    let mut table = ChainCostTable::default();
    for kind in 0..4_096 {
        table.learn(&format!("kind {kind}"), &[usage("deep", 1)], START);
    }
    assert_eq!(table.costs(usize::MAX, START).len(), 4_096);
    table.learn("kind 0", &[usage("deep", 1)], START);
    assert_eq!(table.costs(usize::MAX, START).len(), 4_096);
    table.learn("another", &[usage("deep", 1)], START);
    assert_eq!(table.costs(usize::MAX, START).len(), 1);
    let services: Vec<ServiceUsage> =
        (0..40).map(|service| usage(&format!("service {service}"), 1)).collect();
    table.learn("another", &services, START);
    assert_eq!(table.costs(usize::MAX, START).len(), MAX_SERVICES);
    table.learn("a third", &[usage("deep", 1)], after(61));
    assert_eq!(table.costs(usize::MAX, START).len(), 1);
}

/// Guards against reports that grow with the number of calls in a chain, or that lose usage of a service
/// called twice.
#[test]
fn usage_is_summed_along_a_chain() {
    let mut chain = ChainUsage::default();
    chain.add(&[usage("deep", 40), usage("middle", 50)]);
    chain.add(&[usage("deep", 40)]);
    chain.add(&[]);
    let deep = ServiceUsage { calls: 2, ..usage("deep", 80) };
    assert_eq!(chain.services(), [deep, usage("middle", 50)]);
    let most = ServiceUsage { calls: u32::MAX, ..usage("deep", u32::MAX) };
    chain.add(std::slice::from_ref(&most));
    assert_eq!(chain.services()[0], most);
    for service in 0..40 {
        chain.add(&[usage(&format!("service {service}"), 60 + service)]);
    }
    assert_eq!(chain.services().len(), MAX_SERVICES);
    assert_eq!((chain.services()[0].service.as_str(), chain.services()[1].slot_ms), ("deep", 99));
}

/// Guards against taking as bottleneck a service that has opened again, or one without the lowest floor.
#[test]
fn the_bottleneck_is_the_service_with_the_lowest_floor() {
    let mut floors = EntryFloorTable::default();
    assert_eq!(floors.bottleneck("kind", START), None);
    floors.learn("kind", Some(("middle", AdmissionFloor::at(300))), START);
    floors.learn("kind", Some(("deep", AdmissionFloor::at(200))), START);
    assert_eq!(floors.bottleneck("kind", START), Some("deep"));
    assert_eq!(floors.bottleneck("other kind", START), None);
    floors.learn_service("deep", AdmissionFloor::OPEN, after(1));
    floors.learn_service("middle", AdmissionFloor::at(300), after(1));
    assert_eq!(floors.bottleneck("kind", after(1)), Some("middle"));
    assert_eq!(floors.bottleneck("kind", after(10)), None);
}

/// A call of a begun chain, or a first call, in a bucket.
fn call(ticket: u64, continues_chain: bool, bucket: u8) -> AdmissionRequest {
    AdmissionRequest {
        ticket: Ticket(ticket),
        priority: Priority { class: CLASS, bucket },
        root_admitted: START,
        expiry: after(60),
        objective_end: Instant::NEVER,
        kind: CallKind::default(),
        continues_chain,
    }
}

/// Guards against first calls that displace begun chains of the same class. The order of classes is
/// unchanged.
#[test]
fn calls_of_begun_chains_go_before_first_calls_of_their_class() {
    let policy = AdmissionPolicy { slots: 1, queue_per_slot: 3, initial_slots: 1 };
    let mut queue = AdmissionQueue::new(policy);
    assert_eq!(queue.offer(call(1, false, 0), START), Admission::Run);
    for waiting in [call(2, false, 1), call(3, true, 100), call(4, false, 2)] {
        assert_eq!(queue.offer(waiting, START), Admission::Wait { evicted: None });
    }
    // The queue is full: a begun chain evicts the last first call; a first call evicts no begun chain.
    assert_eq!(queue.offer(call(5, true, 90), START), Admission::Wait { evicted: Some(Ticket(4)) });
    assert_eq!(queue.offer(call(6, true, 127), START), Admission::Wait { evicted: Some(Ticket(2)) });
    assert!(matches!(queue.offer(call(7, false, 0), START), Admission::Refuse(_)));
    let critical = Priority { class: PriorityClass::Critical, bucket: 127 };
    let first_critical = AdmissionRequest { priority: critical, ..call(8, false, 0) };
    assert_eq!(queue.offer(first_critical, START), Admission::Wait { evicted: Some(Ticket(6)) });
    let mut order = Vec::new();
    for ticket in [1, 5, 3] {
        queue.finish(Ticket(ticket), START, false);
        order.extend(queue.next(START));
    }
    // The class that has used less than its share of the slots goes first, as without costs.
    assert_eq!(order, [5, 3, 8].map(|ticket| Dequeued::Run(Ticket(ticket))));
}

/// Requests of one kind that arrive at a service with [`SLOTS`] slots.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    per_second: u64,
    /// Number of calls to the service, one after the other.
    calls: u32,
    service_ms: u64,
    /// The call comes from outside instead of from a chain that began above the service.
    first: bool,
    /// Slot time that its answers report instead of the real one.
    wrong_ms: Option<u32>,
}

/// Results of the requests of a kind.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    offered: u32,
    served: u32,
    /// Refused at the service after they had begun above it.
    wasted: u32,
}

impl Totals {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.offered)
    }
}

const SLOTS: u32 = 40;
/// Length of a simulation, and the part of it in which the service learns before requests are counted.
const STEPS: u64 = 20_000;
const LEARNING_STEPS: u64 = 4_000;

/// A service behind one entry, simulated in steps of a millisecond. The entry knows the floor of the last
/// tick.
struct Run<'a> {
    kinds: &'a [Kind],
    by_cost: bool,
    queue: AdmissionQueue,
    floors: EntryFloorTable,
    costs: ChainCostTable,
    now: Instant,
    next_ticket: u64,
    requests: HashMap<Ticket, Request>,
    running: BTreeSet<(Instant, Ticket)>,
    totals: Vec<Totals>,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    priority: Priority,
    admitted: Instant,
    calls_left: u32,
    counts: bool,
    slot_ms: u64,
}

fn simulate(kinds: &[Kind], by_cost: bool) -> Vec<Totals> {
    let policy = AdmissionPolicy { slots: SLOTS, queue_per_slot: 4, initial_slots: SLOTS };
    let mut run = Run {
        kinds,
        by_cost,
        queue: AdmissionQueue::new(policy),
        floors: EntryFloorTable::default(),
        costs: ChainCostTable::default(),
        now: START,
        next_ticket: 0,
        requests: HashMap::new(),
        running: BTreeSet::new(),
        totals: vec![Totals::default(); kinds.len()],
    };
    for step in 0..STEPS {
        run.now = run.now.plus(MILLISECOND);
        run.end_calls();
        for (index, kind) in kinds.iter().enumerate() {
            for _ in 0..(step + 1) * kind.per_second / 1000 - step * kind.per_second / 1000 {
                run.arrive(index, step >= LEARNING_STEPS);
            }
        }
        run.start_waiting();
        if step % 100 == 99 {
            for late in run.queue.shed_late_calls(run.now) {
                run.refuse(late);
            }
            run.queue.tick();
            let floor = run.queue.floor();
            run.floors.learn_service("deep", floor, run.now);
        }
    }
    run.totals
}

impl Run<'_> {
    fn arrive(&mut self, kind: usize, counts: bool) {
        let Kind { name, calls, .. } = self.kinds[kind];
        self.next_ticket += 1;
        let root = RootId(u128::from(self.next_ticket).wrapping_mul(0x9E37_79B9_7F4A_7C15) as _);
        // An answer tells the entry that the service is the bottleneck of this kind.
        self.floors.learn(name, Some(("deep", self.queue.floor())), self.now);
        let bottleneck = self.floors.bottleneck(name, self.now).filter(|_| self.by_cost);
        let priority = self.costs.priority(name, CLASS, root, bottleneck, self.now);
        self.totals[kind].offered += u32::from(counts);
        if !self.floors.admits(name, priority, self.now) {
            return;
        }
        self.call(Request { kind, priority, admitted: self.now, calls_left: calls, counts, slot_ms: 0 });
    }

    fn call(&mut self, request: Request) {
        let kind = self.kinds[request.kind];
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let objective_end = request.admitted.plus(300 * MILLISECOND);
        self.requests.insert(ticket, request);
        let offered = AdmissionRequest {
            ticket,
            priority: request.priority,
            root_admitted: request.admitted,
            expiry: request.admitted.plus(700 * MILLISECOND),
            objective_end: if kind.first { objective_end } else { Instant::NEVER },
            kind: CallKind(request.kind as u32),
            continues_chain: self.by_cost && !kind.first,
        };
        match self.queue.offer(offered, self.now) {
            Admission::Run => self.start(ticket),
            Admission::Wait { evicted } => evicted.into_iter().for_each(|evicted| self.refuse(evicted)),
            Admission::Refuse(_) => self.refuse(ticket),
        }
    }

    fn refuse(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        let begun = !self.kinds[request.kind].first;
        self.totals[request.kind].wasted += u32::from(request.counts && begun);
    }

    /// Starts a call. Service times are drawn from half to one and a half of the mean.
    fn start(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        let drawn = (ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 1000;
        let mean = self.kinds[request.kind].service_ms;
        let took = mean / 2 + mean * drawn / 1000;
        request.slot_ms += took;
        self.running.insert((self.now.plus(took * MILLISECOND), ticket));
    }

    fn end_calls(&mut self) {
        while let Some((end, ticket)) = self.running.first().copied().filter(|(end, _)| *end <= self.now) {
            self.running.remove(&(end, ticket));
            self.queue.finish(ticket, end, true);
            let Some(mut request) = self.requests.remove(&ticket) else { continue };
            request.calls_left -= 1;
            if request.calls_left > 0 {
                self.call(request);
                continue;
            }
            self.totals[request.kind].served += u32::from(request.counts);
            let kind = self.kinds[request.kind];
            let reported = kind.wrong_ms.unwrap_or(request.slot_ms as u32);
            self.costs.learn(kind.name, &[usage("deep", reported)], self.now);
        }
    }

    fn start_waiting(&mut self) {
        while let Some(dequeued) = self.queue.next(self.now) {
            match dequeued {
                Dequeued::Run(ticket) => self.start(ticket),
                Dequeued::Expired(ticket) => self.refuse(ticket),
            }
        }
    }
}

/// Guards against a kind with three times the slot time that displaces several requests of the other kind of
/// its class at a fully loaded service: 500 requests per second of each, together twice the capacity.
#[test]
fn a_full_service_answers_more_requests_when_the_cheaper_kind_is_shed_less() {
    let kind =
        |name, service_ms| Kind { name, per_second: 500, calls: 1, service_ms, first: false, wrong_ms: None };
    let kinds = [kind("cheap", 40), kind("expensive", 120)];
    let (before, after) = (simulate(&kinds, false), simulate(&kinds, true));
    println!("one call each, 40 and 120 ms, before: {before:?}, by cost: {after:?}");
    let [cheap, expensive] = [after[0].share(), after[1].share()];
    assert!(cheap > before[0].share() + 0.2, "before {before:?}, by cost {after:?}");
    assert!(expensive > cheap / 4.0, "starved: {after:?}");
    let served = |totals: &[Totals]| totals.iter().map(|totals| totals.served).sum::<u32>();
    assert!(
        f64::from(served(&after)) > 1.15 * f64::from(served(&before)),
        "before {before:?}, by cost {after:?}"
    );
}

/// Guards against usage that is wrong at all servers: a cheap kind that is reported as very expensive must
/// not be starved.
#[test]
fn wrong_usage_starves_no_kind() {
    let kind = |name, service_ms, wrong_ms| Kind {
        name,
        per_second: 500,
        calls: 1,
        service_ms,
        first: false,
        wrong_ms,
    };
    let totals = simulate(&[kind("cheap", 40, Some(u32::MAX)), kind("expensive", 120, None)], true);
    println!("cheap kind reported as expensive: {totals:?}");
    // The bounds of the factor leave a quarter; the queue itself sheds some of that.
    assert!(totals[0].share() > totals[1].share() / 5.0, "starved: {totals:?}");
}

/// Guards against begun chains of four calls that fail at a later call because first calls of their class
/// displace them. The chains need the whole service, the first calls four fifths of it.
#[test]
fn fewer_begun_chains_fail_if_first_calls_compete() {
    let kinds = [
        Kind { name: "chain", per_second: 250, calls: 4, service_ms: 40, first: false, wrong_ms: None },
        Kind { name: "single", per_second: 800, calls: 1, service_ms: 40, first: true, wrong_ms: None },
    ];
    let (before, after) = (simulate(&kinds, false), simulate(&kinds, true));
    println!("chains of four and first calls, before: {before:?}, by cost: {after:?}");
    assert!(after[0].wasted * 2 < before[0].wasted, "before {before:?}, by cost {after:?}");
    let [chain, single] = [after[0].share(), after[1].share()];
    assert!(chain > single / 4.0 && single > chain / 4.0, "starved: {after:?}");
}

/// Guards against costs that have an effect at a service with spare capacity: nothing is shed there, whatever
/// the costs.
#[test]
fn a_service_that_does_not_shed_serves_all_kinds() {
    let kind =
        |name, service_ms| Kind { name, per_second: 150, calls: 1, service_ms, first: false, wrong_ms: None };
    let totals = simulate(&[kind("cheap", 40), kind("expensive", 120)], true);
    assert!(totals.iter().all(|totals| totals.share() > 0.98 && totals.wasted == 0), "{totals:?}");
}
