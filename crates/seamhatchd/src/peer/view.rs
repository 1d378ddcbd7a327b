//! The state of a peer as known from its messages and from the outcomes of calls to it.
//!
//! Each connection owns one view. The choice of a server and the silence check read it under its lock.

use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::balance::{
    self, CallEnd, CandidateStatus, Ejection, KnownPace, NextTurn, ServerPace, SuccessRate, TurnReport,
};
use seamhatch_core::clock::{Microseconds, PeerClock};
use seamhatch_core::instance::InstanceId;
use seamhatch_wire::{CallIntake, Farewell, ServerReport};

/// The known state of a peer and of the server beside it.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Time of the last message received from the peer.
    pub last_heard: Instant,
    /// Which calls the server accepts.
    pub intake: CallIntake,
    /// The peer is about to stop; no further call may be sent to it.
    pub(super) is_stopping: bool,
    /// Load of the server; none before the first report.
    pub server: Option<ServerReport>,
    /// The instance of the server that takes calls, as last told; none before.
    pub instance: Option<InstanceId>,
    /// When a draining peer's forwarded work is due, shortly before its process ends.
    ends_at: Instant,
    /// When a rate-limited server next accepts a call of this daemon; `None` if the server is not rate-limited (no named
    /// rate, and no ramp after one).
    turn: Option<NextTurn>,
    /// The last reported pace of the server, and when it was reported; none before the first report.
    pace: Option<(Option<ServerPace>, Instant)>,
    clock: PeerClock,
    ejection: Ejection,
    success: SuccessRate,
    losses: u32,
}

impl PeerView {
    /// Creates the view of a peer of which only the boot clock is known.
    #[must_use]
    pub fn new(peer_clock: Instant, now: Instant) -> Self {
        let mut clock = PeerClock::default();
        clock.observe(peer_clock, now);
        Self {
            last_heard: now,
            intake: CallIntake::Open,
            is_stopping: false,
            server: None,
            instance: None,
            ends_at: now,
            turn: None,
            pace: None,
            clock,
            ejection: Ejection::default(),
            success: SuccessRate::default(),
            losses: 0,
        }
    }

    /// Converts a local instant to the peer's clock; the result may be early, never late.
    #[must_use]
    pub fn to_peer_clock(&self, instant: Instant) -> Instant {
        // `new` has recorded an offset.
        self.clock.to_peer(instant).unwrap_or(instant)
    }

    /// Time until a rate-limited server has a turn for a call of this daemon; `None` if the server is not rate-limited
    /// (no named rate, and no ramp after one).
    #[must_use]
    pub fn turn_in(&self, now: Instant) -> Option<Microseconds> {
        self.turn.map(|turn| turn.wait(now))
    }

    /// Records the reported time of this daemon's next turn.
    pub(super) fn note_turn(&mut self, turn: Option<TurnReport>, now: Instant) {
        self.turn = turn.map(|turn| NextTurn::from_report(turn, now));
    }

    /// The pace of the server, if known.
    #[must_use]
    pub fn pace(&self, now: Instant) -> KnownPace {
        self.pace.map_or(KnownPace::Unknown, |(pace, heard)| KnownPace::from_report(pace, heard, now))
    }

    /// Records the reported pace of the server.
    pub(super) fn note_pace(&mut self, pace: Option<ServerPace>, now: Instant) {
        self.pace = Some((pace, now));
    }

    /// Records that a call is sent to the peer.
    pub(super) fn note_sent(&mut self, now: Instant) {
        if let Some(turn) = &mut self.turn {
            turn.note_sent(now);
        }
    }

    /// Records the outcome of a call to the peer.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        self.ejection.record(end, now);
        self.success.record(end, now);
        self.losses = if end == CallEnd::Lost { self.losses + 1 } else { 0 };
    }

    /// When the peer counts as silent, unless a message arrives before.
    #[must_use]
    pub fn silent_at(&self) -> Instant {
        balance::silent_at(self.last_heard)
    }

    /// Whether the peer has been silent for so long that it should get no new calls.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.silent_at()
    }

    /// Whether the peer should get no new calls because it is silent or ejected.
    #[must_use]
    pub fn should_avoid(&self, now: Instant) -> bool {
        self.is_silent(now) || self.ejection.is_ejected(now)
    }

    /// The server's status in the choice among the servers of its service.
    #[must_use]
    pub fn candidate_status(&self, now: Instant) -> CandidateStatus {
        balance::candidate_status(self.intake, self.should_avoid(now), self.ends_at, now)
    }

    /// The share of recent calls to the peer whose answers arrived, from 0 to 1.
    #[must_use]
    pub fn success(&self, now: Instant) -> f64 {
        self.success.at(now)
    }

    /// The number of consecutive lost calls.
    #[must_use]
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Applies a heartbeat of the peer.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &seamhatch_wire::Pulse) {
        let now = clock::now();
        self.clock.observe(heartbeat.clock, now);
        self.intake = heartbeat.intake;
        self.is_stopping |= heartbeat.farewell == Some(Farewell::Said);
        if let CallIntake::FallbackOnly { left } = heartbeat.intake {
            self.ends_at = now.plus(left);
        }
        self.server = Some(heartbeat.server);
        if heartbeat.instance.is_some() {
            self.instance.clone_from(&heartbeat.instance);
        }
        self.note_turn(heartbeat.turn, now);
        self.note_pace(heartbeat.pace, now);
    }
}
