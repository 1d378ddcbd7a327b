//! Loss of critical calls by a cold start or a pause of the server under overload.

mod simulation;

use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::priority::{AdmissionFloor, PriorityClass};
use simulation::{SECONDS, Server, Stream, served_behind};

/// A cold server under a mix of all classes, with the calls of each class per second.
struct ColdCase {
    slots: u32,
    service_time: Microseconds,
    per_second: [u64; PriorityClass::ALL.len()],
}

/// Guards against a floor that stays in the critical class after a cold start under overload, because less important
/// classes get their guaranteed shares. The critical calls need less than half of the server's capacity.
#[test]
fn a_cold_start_does_not_shed_critical_work() {
    let cases = [
        ColdCase { slots: 4, service_time: 40 * MILLISECOND, per_second: [40, 120, 120, 120] },
        ColdCase { slots: 8, service_time: 40 * MILLISECOND, per_second: [80, 240, 240, 240] },
        ColdCase { slots: 20, service_time: 22 * MILLISECOND, per_second: [380, 1200, 600, 600] },
    ];
    for case in cases {
        let streams: Vec<Stream> = PriorityClass::ALL
            .into_iter()
            .map(|class| Stream {
                class,
                buckets: 128,
                per_second: case.per_second[class.rank()],
                service_time: case.service_time,
                max_wait: 1000 * MILLISECOND,
                from_step: 0,
            })
            .collect();
        let server = Server { slots: case.slots, initial_slots: case.slots.div_ceil(4), paused: 0..0 };
        let shares = served_behind(&streams, &server, AdmissionFloor::admits);
        let lost = (1.0 - shares[0]) * SECONDS as f64;
        assert!(lost < 0.15, "{} slots: {lost:.2} s of critical work are lost, {shares:?}", case.slots);
    }
}

/// A server that pauses for a moment.
struct PauseCase {
    slots: u32,
    service_time: Microseconds,
    critical_per_second: u64,
    normal_per_second: u64,
    paused_ms: u64,
}

/// Guards against critical calls that are refused after a back end or its machine has paused under overload, although
/// they need less than half of the capacity. Calls that could not be served during the pause are lost.
#[test]
fn a_pause_does_not_shed_critical_work_after_it() {
    let cases = [
        PauseCase {
            slots: 4,
            service_time: 40 * MILLISECOND,
            critical_per_second: 40,
            normal_per_second: 360,
            paused_ms: 400,
        },
        PauseCase {
            slots: 4,
            service_time: 40 * MILLISECOND,
            critical_per_second: 40,
            normal_per_second: 360,
            paused_ms: 800,
        },
        PauseCase {
            slots: 20,
            service_time: 22 * MILLISECOND,
            critical_per_second: 400,
            normal_per_second: 900,
            paused_ms: 500,
        },
    ];
    for case in cases {
        let stream = |class, per_second| Stream {
            class,
            buckets: 128,
            per_second,
            service_time: case.service_time,
            max_wait: 500 * MILLISECOND,
            from_step: 0,
        };
        let streams = [
            stream(PriorityClass::Critical, case.critical_per_second),
            stream(PriorityClass::Normal, case.normal_per_second),
        ];
        let shares = |paused_ms| {
            let paused = 10_000..10_000 + paused_ms;
            let server = Server { slots: case.slots, initial_slots: case.slots, paused };
            served_behind(&streams, &server, AdmissionFloor::admits)
        };
        let (steady, paused) = (shares(0), shares(case.paused_ms));
        println!("{} ms: {steady:?} without, {paused:?} with the pause", case.paused_ms);
        let lost = (steady[0] - paused[0]) * SECONDS as f64;
        let pause = case.paused_ms as f64 / 1000.0;
        assert!(lost < 1.2 * pause, "{lost} s of critical work are lost by {pause} s: {paused:?}");
    }
}
