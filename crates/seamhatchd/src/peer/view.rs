//! What one daemon knows of a peer from its messages and from how calls to it ended.
//!
//! Each connection owns one view; the choice of a server and the silence check read it under its lock.

use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::balance::{
    self, CallEnd, CandidateStatus, Ejection, KnownPace, NextTurn, ServerPace, SuccessRate, TurnReport,
};
use seamhatch_core::clock::{Microseconds, PeerClock};
use seamhatch_wire::{CallIntake, Farewell, ServerReport};

/// What is known of the peer from its messages.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// When it was last heard.
    pub last_heard: Instant,
    /// Which calls its server gets.
    pub intake: CallIntake,
    /// It is about to end, and no call may be sent to it any more.
    pub(super) is_stopping: bool,
    /// State of its server; none before the first report.
    pub server: Option<ServerReport>,
    /// When its process ends, while it drains.
    leaves_at: Instant,
    /// When its server has a turn for a call of this daemon, where that names a rate.
    turn: Option<NextTurn>,
    /// What it reported last of its server's pace, and when; none before the first report.
    pace: Option<(Option<ServerPace>, Instant)>,
    clock: PeerClock,
    ejection: Ejection,
    success: SuccessRate,
    losses: u32,
}

impl PeerView {
    /// A peer of which only the boot clock is known, as of now.
    #[must_use]
    pub fn new(peer_clock: Instant, now: Instant) -> Self {
        let mut clock = PeerClock::default();
        clock.observe(peer_clock, now);
        Self {
            last_heard: now,
            intake: CallIntake::Open,
            is_stopping: false,
            server: None,
            leaves_at: now,
            turn: None,
            pace: None,
            clock,
            ejection: Ejection::default(),
            success: SuccessRate::default(),
            losses: 0,
        }
    }

    /// Translates a local instant into the peer's clock, erring early.
    #[must_use]
    pub fn to_peer_clock(&self, instant: Instant) -> Instant {
        // The first message set an offset before this view existed.
        self.clock.to_peer(instant).unwrap_or(instant)
    }

    /// Time until its server has a turn for a call of this daemon; none where that names no rate.
    #[must_use]
    pub fn turn_in(&self, now: Instant) -> Option<Microseconds> {
        self.turn.map(|turn| turn.wait(now))
    }

    /// Records what it reports of this daemon's next turn.
    pub(super) fn note_turn(&mut self, turn: Option<TurnReport>, now: Instant) {
        self.turn = turn.map(|turn| NextTurn::from_report(turn, now));
    }

    /// How long work takes at its server.
    #[must_use]
    pub fn pace(&self, now: Instant) -> KnownPace {
        self.pace.map_or(KnownPace::Unknown, |(pace, heard)| KnownPace::from_report(pace, heard, now))
    }

    /// Records what it reports of its server's pace.
    pub(super) fn note_pace(&mut self, pace: Option<ServerPace>, now: Instant) {
        self.pace = Some((pace, now));
    }

    /// A call is sent to it.
    pub(super) fn note_sent(&mut self, now: Instant) {
        if let Some(turn) = &mut self.turn {
            turn.note_sent(now);
        }
    }

    /// Records how a call to it ended.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        self.ejection.record(end, now);
        self.success.record(end, now);
        self.losses = if end == CallEnd::Lost { self.losses + 1 } else { 0 };
    }

    /// When it counts as silent, unless it is heard before.
    #[must_use]
    pub fn silent_at(&self) -> Instant {
        balance::silent_at(self.last_heard)
    }

    /// Whether nothing was heard of it for so long that it should get no new calls.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        now >= self.silent_at()
    }

    /// Whether it should get no new calls.
    #[must_use]
    pub fn should_avoid(&self, now: Instant) -> bool {
        self.is_silent(now) || self.ejection.is_ejected(now)
    }

    /// Whether it is used while other servers are there.
    #[must_use]
    pub fn standing(&self, now: Instant) -> CandidateStatus {
        balance::candidate_status(self.intake, self.should_avoid(now), self.leaves_at, now)
    }

    /// Share of its answers that arrived recently, 0 to 1.
    #[must_use]
    pub fn success(&self, now: Instant) -> f64 {
        self.success.at(now)
    }

    /// Calls lost in a row.
    #[must_use]
    pub fn losses(&self) -> u32 {
        self.losses
    }

    /// Records a heartbeat.
    pub(super) fn apply_pulse(&mut self, pulse: &seamhatch_wire::Pulse) {
        let now = clock::now();
        self.clock.observe(pulse.clock, now);
        self.intake = pulse.intake;
        self.is_stopping |= pulse.farewell == Some(Farewell::Said);
        if let CallIntake::FallbackOnly { left } = pulse.intake {
            self.leaves_at = now.plus(left);
        }
        self.server = Some(pulse.server);
        self.note_turn(pulse.turn, now);
        self.note_pace(pulse.pace, now);
    }
}
