//! Membership: which daemons there are, and what each reports of itself.
//!
//! Decides which members are live, by probes, suspicion and gossip after SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", 2002), with incarnations. Owns the list of members of
//! one daemon; messages and time are passed in, and what is to be sent is returned. Alternatives: docs/DESIGN.md#membership.
//! Who calls it: the daemon's control thread.

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

/// For how long after its start a member exchanges lists more often.
const SETTLING_TIME: Microseconds = 20 * SECOND;
/// Time between two exchanges in that time.
const EARLY_SYNC_INTERVAL: Microseconds = SECOND;
/// Time between two exchanges until a member has sent its list: some of those that are asked may be away.
const FIRST_SYNC_INTERVAL: Microseconds = 200 * MILLISECOND;
/// Members that are asked at once until one has sent its list.
const FIRST_ASKED: usize = 3;
/// How long the answer to a probe for another member is waited for.
const RELAY_LIFETIME: Microseconds = SECOND;
/// Times that a news record is sent on, for each doubling of the number of members.
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
    asked_others: bool,
}

#[derive(Debug, Clone, Copy)]
struct Relay {
    asker: Address,
    asker_sequence: u64,
    sent: Instant,
}

/// A message to send, and where.
pub type Outgoing = (Address, GossipMessage);

/// The membership part of one daemon.
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
    /// A member has sent its list.
    heard_list: bool,
    changes: u64,
}

impl Membership {
    /// A member that knows only itself and where to ask first.
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
            heard_list: false,
            changes: 0,
        }
    }

    /// This daemon's own record.
    #[must_use]
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All records but this daemon's own, dead and left ones included.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// Whether another member has sent its list: until then this one may know nobody.
    #[must_use]
    pub fn has_received_list(&self) -> bool {
        self.heard_list
    }

    /// Grows whenever a record changes.
    #[must_use]
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Live members, this one included.
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

    /// The record of the member with this gossip address.
    #[must_use]
    pub fn member(&self, address: Address) -> Option<&MemberRecord> {
        self.members.get(&address).map(|member| &member.record)
    }

    /// Adds addresses to ask when no member is known (from the machine list).
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = Address>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Changes the lifecycle that this daemon reports.
    pub fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        if self.me.lifecycle == lifecycle {
            return;
        }
        self.me.lifecycle = lifecycle;
        self.speak_up();
    }

    /// Changes the slots that this daemon reports of its back end.
    pub fn set_slots(&mut self, slots: u32) {
        if self.me.info.slots == slots {
            return;
        }
        self.me.info.slots = slots;
        self.speak_up();
    }

    /// Changes the shards of the tenants' limits that this daemon reports to hold.
    pub fn set_quota_shards(&mut self, shards: u64) {
        if self.me.info.quota_shards == shards {
            return;
        }
        self.me.info.quota_shards = shards;
        self.speak_up();
    }

    /// Records that the member at `address` leaves, by the platform's list of machines or by an operator.
    pub fn mark_leaving(&mut self, address: Address) {
        let transmissions = self.transmissions();
        if address == self.me.info.gossip {
            self.me.leaving = true;
            return self.speak_up();
        }
        let Some(member) = self.members.get_mut(&address) else { return };
        if !member.record.leaving {
            member.record.leaving = true;
            member.transmissions_left = transmissions;
            self.changes += 1;
        }
    }

    /// Advances to `now`; to be called several times in a probe timeout. Returns what to send.
    pub fn tick(&mut self, now: Instant, mut random: impl FnMut(usize) -> usize) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.age_members(now);
        self.relays.retain(|_, relay| now.since(relay.sent) < RELAY_LIFETIME);
        self.follow_probe(now, &mut random, &mut outgoing);
        if now >= self.next_probe {
            self.next_probe = now.plus(self.policy.probe_interval);
            self.start_probe(now, &mut random, &mut outgoing);
        }
        if now >= self.next_sync {
            self.start_sync(now, &mut random, &mut outgoing);
        }
        outgoing
    }

    /// Handles a message. Returns what to send.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> Vec<Outgoing> {
        for record in message.news {
            self.merge(record, now);
        }
        self.heard_from(message.from);
        match message.body {
            GossipBody::Ping { sequence } => {
                vec![(message.from, self.message(GossipBody::Ack { sequence }))]
            }
            GossipBody::Ack { sequence } => self.acked(sequence),
            GossipBody::PingRequest { sequence, target } => {
                self.sequence += 1;
                let relay = Relay { asker: message.from, asker_sequence: sequence, sent: now };
                self.relays.insert(self.sequence, relay);
                let ping = GossipBody::Ping { sequence: self.sequence };
                vec![(target, self.message(ping))]
            }
            GossipBody::SyncRequest { digest } => self.sync_pages(message.from, digest),
            GossipBody::SyncPage => {
                self.heard_list = true;
                Vec::new()
            }
            GossipBody::News | GossipBody::Suspects(_) => Vec::new(),
        }
    }

    /// A digest of the live members' records, equal for equal lists. The gone are left out, as each
    /// member forgets them at a time of its own.
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

    fn speak_up(&mut self) {
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
