//! Group membership: the daemons of a deployment, their liveness, and what each reports about itself.
//!
//! Implements SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", 2002): random probes, a suspicion period, and updates piggybacked on messages. Incarnations
//! tell the runs of a daemon apart, and periodic syncs exchange whole member lists. [`Membership`] holds the member
//! list of one daemon and does no I/O: the daemon's control thread passes in received messages and the time, and
//! sends the messages that are returned. Alternatives: docs/DESIGN.md#membership.

mod dissemination;
mod merging;
mod message;
mod policy;
mod probing;
mod record;
mod sync;

pub use message::{GossipBody, GossipMessage, NEWS_PER_MESSAGE, SUSPECTS_PER_MESSAGE};
pub use policy::MembershipPolicy;
pub use record::{Lifecycle, Liveness, MemberInfo, MemberRecord};

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};
use crate::generation::Generation;
use crate::identity::{Address, Incarnation};
use std::collections::BTreeMap;

/// How long after its start a member syncs every [`EARLY_SYNC_INTERVAL`].
const EARLY_SYNC_PERIOD: Microseconds = 20 * SECOND;
/// Interval between syncs during [`EARLY_SYNC_PERIOD`].
const EARLY_SYNC_INTERVAL: Microseconds = SECOND;
/// Interval between syncs until the first member list arrives. Short, since some of the members that are asked may be
/// down.
const JOIN_SYNC_INTERVAL: Microseconds = 200 * MILLISECOND;
/// Live members, and seeds that are not live members, that each sync asks until the first member list arrives.
const JOIN_SYNC_TARGETS: usize = 3;
/// How long an indirect probe waits for the answer of its target.
const RELAY_TIMEOUT: Microseconds = SECOND;
/// How often a record is piggybacked, for each doubling of the number of members.
const TRANSMISSIONS_PER_DOUBLING: u32 = 4;

#[derive(Debug, Clone)]
struct Member {
    record: MemberRecord,
    suspect_since: Option<Instant>,
    gone_since: Option<Instant>,
    transmissions_left: u32,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    target: Address,
    sequence: u64,
    sent: Instant,
    indirect_sent: bool,
}

#[derive(Debug, Clone, Copy)]
struct Relay {
    requester: Address,
    requester_sequence: u64,
    sent: Instant,
}

/// A message and the gossip address to send it to.
pub type Outgoing = (Address, GossipMessage);

/// Member list of one daemon, and its state of the membership protocol.
#[derive(Debug)]
pub struct Membership {
    policy: MembershipPolicy,
    me: MemberRecord,
    my_transmissions_left: u32,
    members: BTreeMap<Address, Member>,
    seeds: Vec<Address>,
    generation: Generation,
    roster_version: u64,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    sequence: u64,
    next_probe: Instant,
    next_sync: Instant,
    started: Option<Instant>,
    /// A member list has arrived from another member.
    received_list: bool,
    changes: u64,
}

impl Membership {
    /// Creates a member that knows only itself and its seeds.
    #[must_use]
    pub fn new(
        policy: MembershipPolicy,
        info: MemberInfo,
        incarnation: Incarnation,
        seeds: Vec<Address>,
    ) -> Self {
        let me = MemberRecord {
            info,
            incarnation,
            revision: 0,
            lifecycle: Lifecycle::Joining,
            liveness: Liveness::Alive,
            leaving: false,
        };
        Self {
            policy,
            me,
            my_transmissions_left: 0,
            members: BTreeMap::new(),
            seeds,
            generation: Generation::default(),
            roster_version: 0,
            probe: None,
            relays: BTreeMap::new(),
            sequence: 0,
            next_probe: Instant::default(),
            next_sync: Instant::default(),
            started: None,
            received_list: false,
            changes: 0,
        }
    }

    /// This daemon's own record.
    #[must_use]
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Records of all other members, including dead and left ones.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Whether a member list has arrived from another member. Until then, this daemon may know no other member.
    #[must_use]
    pub fn has_received_list(&self) -> bool {
        self.received_list
    }

    /// Counter that grows with every change of a record.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of live members, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.others().filter(|record| record.is_live()).count()
    }

    /// Sets the generation that every message carries.
    pub fn set_generation(&mut self, generation: Generation) {
        self.generation = generation;
    }

    /// Sets the roster version that every message carries.
    pub fn set_roster_version(&mut self, version: u64) {
        self.roster_version = version;
    }

    /// The record of the member with this gossip address, if it is known.
    #[must_use]
    pub fn member(&self, address: Address) -> Option<&MemberRecord> {
        self.members.get(&address).map(|member| &member.record)
    }

    /// Adds seeds (from the platform's list of machines): addresses that are asked at each sync while they are not
    /// live members.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = Address>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Sets the lifecycle state that this daemon reports.
    pub fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        if self.me.lifecycle == lifecycle {
            return;
        }
        self.me.lifecycle = lifecycle;
        self.republish();
    }

    /// Sets the number of slots that this daemon reports for its back end.
    pub fn set_slots(&mut self, slots: u32) {
        if self.me.info.slots == slots {
            return;
        }
        self.me.info.slots = slots;
        self.republish();
    }

    /// Sets the quota shards that this daemon reports to hold, one bit for each.
    pub fn set_quota_shards(&mut self, shards: u64) {
        if self.me.info.quota_shards == shards {
            return;
        }
        self.me.info.quota_shards = shards;
        self.republish();
    }

    /// Marks the member at `address` as leaving, by the platform's list of machines or by an operator.
    pub fn mark_leaving(&mut self, address: Address) {
        let transmissions = self.transmissions();
        if address == self.me.info.gossip {
            self.me.leaving = true;
            return self.republish();
        }
        let Some(member) = self.members.get_mut(&address) else { return };
        if !member.record.leaving {
            member.record.leaving = true;
            member.transmissions_left = transmissions;
            self.changes += 1;
        }
    }

    /// Advances the protocol to `now`, and returns the messages to send. Must be called several times per probe
    /// timeout.
    pub fn tick(&mut self, now: Instant, mut random: impl FnMut(usize) -> usize) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.expire_members(now);
        self.relays.retain(|_, relay| now.since(relay.sent) < RELAY_TIMEOUT);
        self.check_probe(now, &mut random, &mut outgoing);
        if now >= self.next_probe {
            self.next_probe = now.plus(self.policy.probe_interval);
            self.start_probe(now, &mut random, &mut outgoing);
        }
        if now >= self.next_sync {
            self.start_sync(now, &mut random, &mut outgoing);
        }
        outgoing
    }

    /// Handles a message, and returns the messages to send.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> Vec<Outgoing> {
        for record in message.news {
            self.merge(record, now);
        }
        self.heard_from(message.from);
        match message.body {
            GossipBody::Ping { sequence } => {
                vec![(message.from, self.message(GossipBody::Ack { sequence }))]
            }
            GossipBody::Ack { sequence } => self.handle_ack(sequence),
            GossipBody::PingRequest { sequence, target } => {
                self.sequence += 1;
                let relay = Relay { requester: message.from, requester_sequence: sequence, sent: now };
                self.relays.insert(self.sequence, relay);
                let ping = GossipBody::Ping { sequence: self.sequence };
                vec![(target, self.message(ping))]
            }
            GossipBody::SyncRequest { digest } => self.sync_pages(message.from, digest),
            GossipBody::SyncPage => {
                self.received_list = true;
                Vec::new()
            }
            GossipBody::News | GossipBody::Suspects(_) => Vec::new(),
        }
    }

    /// Digest of the records of all live members, independent of their order. Dead and left members don't count,
    /// since each member evicts them at a time of its own.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let live = self.others().filter(|record| record.is_live());
        let records = std::iter::once(&self.me).chain(live);
        let hashes = records.map(|record| {
            let text = format!(
                "{} {} {} {:?} {:?} {}",
                record.info.gossip,
                record.incarnation,
                record.revision,
                record.lifecycle,
                record.liveness,
                record.leaving
            );
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        });
        hashes.fold(0, |sum, hash| sum ^ hash)
    }

    fn republish(&mut self) {
        self.me.revision += 1;
        self.my_transmissions_left = self.transmissions();
        self.changes += 1;
    }

    fn transmissions(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        TRANSMISSIONS_PER_DOUBLING * (u32::BITS - members.leading_zeros())
    }

    fn live_addresses(&self) -> Vec<Address> {
        self.others().filter(|record| record.is_live()).map(|record| record.info.gossip).collect()
    }
}
