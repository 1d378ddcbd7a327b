//! The membership protocol over a simulated network.

use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, SECOND};
use seamhatch_core::crashes::{InstanceDigest, SuspectRecord, SuspectReport};
use seamhatch_core::identity::{Address, Incarnation, RequestDigest};
use seamhatch_core::membership::{Lifecycle, Liveness, MemberInfo, Membership, MembershipPolicy, Outgoing};
use std::collections::BTreeSet;

const TICK: u64 = 100 * MILLISECOND;

fn address(number: usize) -> Address {
    format!("127.0.0.{}:7003", number + 1).parse().expect("valid address")
}

fn member(number: usize, incarnation: u64, seeds: &[usize]) -> Membership {
    member_with(MembershipPolicy::default(), number, incarnation, seeds)
}

fn member_with(policy: MembershipPolicy, number: usize, incarnation: u64, seeds: &[usize]) -> Membership {
    let seeds = seeds.iter().map(|seed| address(*seed)).collect();
    Membership::new(policy, info(number, "s"), Incarnation(incarnation), seeds)
}

/// A member of `service` whose seed is the first member.
fn member_of(number: usize, service: &str) -> Membership {
    Membership::new(MembershipPolicy::default(), info(number, service), Incarnation(1), vec![address(0)])
}

fn info(number: usize, service: &str) -> MemberInfo {
    MemberInfo {
        gossip: address(number),
        peer: address(number),
        admin: address(number),
        region: "r".into(),
        zone: "z".into(),
        service: service.into(),
        slots: 1,
        quota_shards: 0,
    }
}

/// A network without delay, from which members can be cut off.
struct Network {
    members: Vec<Membership>,
    cut_off: BTreeSet<usize>,
    now: Instant,
    random: u64,
}

impl Network {
    fn new(members: Vec<Membership>) -> Self {
        Self { members, cut_off: BTreeSet::new(), now: Instant(SECOND), random: 1 }
    }

    fn run(&mut self, seconds: u64) {
        self.run_ticks(seconds * SECOND / TICK);
    }

    fn run_ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now = self.now.plus(TICK);
            for number in 0..self.members.len() {
                let mut random = self.random;
                let outgoing = self.members[number].tick(self.now, |below| {
                    random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    (random >> 33) as usize % below
                });
                self.random = random;
                self.deliver(number, outgoing);
            }
        }
    }

    fn deliver(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        let mut queue: Vec<(usize, Outgoing)> = outgoing.into_iter().map(|message| (from, message)).collect();
        while let Some((from, (target, message))) = queue.pop() {
            let to = (0..self.members.len()).find(|number| address(*number) == target);
            let Some(to) = to else { continue };
            if self.cut_off.contains(&from) || self.cut_off.contains(&to) {
                continue;
            }
            let answers = self.members[to].receive(message, self.now);
            queue.extend(answers.into_iter().map(|answer| (to, answer)));
        }
    }

    fn live(&self, number: usize) -> usize {
        self.members[number].live_count()
    }

    fn liveness(&self, observer: usize, of: usize) -> Option<Liveness> {
        self.members[observer].member(address(of)).map(|record| record.liveness)
    }
}

#[test]
fn members_find_each_other_through_one_seed() {
    let mut network = Network::new((0..12).map(|number| member(number, 1, &[0])).collect());
    network.run(6);
    assert!((0..12).all(|number| network.live(number) == 12));
}

/// Two groups that formed around different seeds used to stay apart for good.
#[test]
fn groups_around_different_seeds_merge() {
    let mut members: Vec<Membership> = (0..2).map(|number| member(number, 1, &[0, 1])).collect();
    members.extend((2..6).map(|number| member(number, 1, &[2, 3])));
    let mut network = Network::new(members);
    network.run(5);
    assert_eq!((network.live(0), network.live(5)), (2, 4));
    network.members[0].add_seeds([address(4)]);
    network.run(15);
    assert!((0..6).all(|number| network.live(number) == 6));
}

#[test]
fn an_unreachable_member_is_declared_dead_and_rejoins() {
    let mut network = Network::new((0..8).map(|number| member(number, 1, &[0])).collect());
    network.run(5);
    network.cut_off.insert(7);
    network.run(25);
    assert!((0..7).all(|number| network.liveness(number, 7) == Some(Liveness::Dead)));
    network.cut_off.clear();
    network.run(30);
    assert!((0..8).all(|number| network.live(number) == 8));
}

#[test]
fn a_restart_with_an_earlier_clock_is_accepted() {
    let mut network = Network::new((0..4).map(|number| member(number, 50, &[0])).collect());
    network.run(5);
    network.members[3] = member(3, 10, &[0]);
    network.members[3].set_lifecycle(Lifecycle::Ready);
    network.run(10);
    let seen = network.members[1].member(address(3)).expect("known");
    assert_eq!((seen.lifecycle, seen.liveness), (Lifecycle::Ready, Liveness::Alive));
    assert!(seen.incarnation > Incarnation(50));
}

#[test]
fn leaving_holds_until_the_next_incarnation() {
    let mut network = Network::new((0..4).map(|number| member(number, 1, &[0])).collect());
    network.members.iter_mut().for_each(|member| member.set_lifecycle(Lifecycle::Ready));
    network.run(5);
    network.members[0].mark_leaving(address(2));
    network.run(5);
    let takes_work = |network: &Network, observer: usize| {
        network.members[observer].member(address(2)).is_some_and(|record| record.takes_work())
    };
    assert!([0, 1, 3].into_iter().all(|observer| !takes_work(&network, observer)));
    assert!(network.members[2].me().leaving);
    network.members[2] = member(2, 2, &[0]);
    network.members[2].set_lifecycle(Lifecycle::Ready);
    network.run(10);
    assert!([0, 1, 3].into_iter().all(|observer| takes_work(&network, observer)));
}

/// How a member goes away, and whether it comes back at the end.
struct EvictionCase {
    name: &'static str,
    leaves: bool,
    returns: bool,
}

/// Member lists must not grow with every machine that ever existed. Members evict a record at different times; those
/// that still held it used to send it back to those that had evicted it.
#[test]
fn dead_and_left_members_are_evicted_by_all() {
    const TOMBSTONE_S: u64 = 40;
    let cases = [
        EvictionCase { name: "left", leaves: true, returns: false },
        EvictionCase { name: "lost", leaves: false, returns: false },
        EvictionCase { name: "lost, then back", leaves: false, returns: true },
    ];
    let policy =
        MembershipPolicy { tombstone_retention: TOMBSTONE_S * SECOND, ..MembershipPolicy::default() };
    for case in cases {
        let members = (0..6).map(|number| member_with(policy, number, 1, &[0])).collect();
        let mut network = Network::new(members);
        network.run(5);
        if case.leaves {
            network.members[5].set_lifecycle(Lifecycle::Left);
            let announcement = network.members[5].announce();
            network.deliver(5, announcement);
        }
        network.cut_off.insert(5);
        network.run(20);
        assert!((0..5).all(|number| network.live(number) == 5), "{}", case.name);
        // One member restarts: if it learns of the gone member late, it evicts the record later than the others.
        network.members[4] = member_with(policy, 4, 2, &[0]);
        network.run(2 * TOMBSTONE_S);
        let known =
            |network: &Network| (0..5).filter(|number| network.liveness(*number, 5).is_some()).count();
        assert_eq!(known(&network), 0, "{}: not evicted", case.name);
        if case.returns {
            network.cut_off.clear();
            network.run(15);
            assert!((0..6).all(|number| network.live(number) == 6), "{}", case.name);
        }
    }
}

/// Members that know the same live members have nothing to sync, whatever one of them remembers of dead and left
/// ones.
#[test]
fn digests_depend_on_live_members_only() {
    let mut network = Network::new((0..4).map(|number| member(number, 1, &[0])).collect());
    network.run(5);
    network.cut_off.insert(3);
    network.run(20);
    network.members[2] = member(2, 2, &[0]);
    network.run(15);
    let digest = |number: usize| network.members[number].digest();
    assert_eq!((digest(0), digest(0)), (digest(1), digest(2)));
    assert_ne!(digest(0), digest(3));
}

/// Number of members that a suspect is reported to.
struct SuspectCase {
    name: &'static str,
    members: usize,
    crashes: u64,
    reported_to: usize,
}

#[test]
fn suspects_of_one_crash_are_reported_only_to_the_service_in_large_deployments() {
    let cases = [
        SuspectCase { name: "one crash, few members", members: 16, crashes: 1, reported_to: 15 },
        SuspectCase { name: "one crash, many members", members: 60, crashes: 1, reported_to: 9 },
        SuspectCase { name: "two crashes, many members", members: 60, crashes: 2, reported_to: 59 },
    ];
    for case in cases {
        // Every sixth member belongs to the service of the first one.
        let service = |number: usize| if number.is_multiple_of(6) { "s" } else { "other" };
        let mut network =
            Network::new((0..case.members).map(|number| member_of(number, service(number))).collect());
        network.run(30);
        let mut record = SuspectRecord::new(RequestDigest(1));
        (0..case.crashes).for_each(|crash| {
            record.add(InstanceDigest(crash), false);
        });
        let outgoing = network.members[0].spread_suspects(&[SuspectReport { record, age: 0 }]);
        let reported_to: BTreeSet<Address> = outgoing.iter().map(|(target, _)| *target).collect();
        assert_eq!(
            (reported_to.len(), outgoing.len()),
            (case.reported_to, case.reported_to),
            "{}",
            case.name
        );
    }
}

/// A starting member whose only asked seed was down used to know no other member for a second.
#[test]
fn a_starting_member_repeats_its_sync_until_a_list_arrives() {
    let seeds = [1, 2, 3, 4, 5];
    for alive in seeds {
        let mut members: Vec<Membership> = (0..6).map(|number| member(number, 1, &[alive])).collect();
        members[0] = member(0, 1, &seeds);
        let mut network = Network::new(members);
        network.cut_off = seeds.into_iter().filter(|seed| *seed != alive).collect();
        let mut ticks = 0;
        while !network.members[0].has_received_list() {
            network.run_ticks(1);
            ticks += 1;
            assert!(ticks <= 20, "no list from seed {alive} within {ticks} ticks");
        }
        assert!(network.members[0].member(address(alive)).is_some());
    }
}
