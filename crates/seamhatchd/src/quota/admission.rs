//! Charging a request to its tenant's limit.

use super::directory::SeatPlace;
use super::holder::grant;
use super::{Quota, limit_of};
use crate::clock;
use crate::filters::{Rejection, RequestState};
use crate::shared::Shared;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::outcome::Reason;
use seamhatch_core::quota::{QuotaGrant, QuotaToken, SeatNumber};
use seamhatch_policy::Tenant;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a seat's answer: two hundred times the way between zones of one region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// When to come back where no seat answers: one that is lost is taken by another daemon within seconds.
const SEATS_RETURN: Microseconds = 500 * MILLISECOND;
/// Shortest time to come back that a tenant at its limit is told.
const SHORTEST_RETURN: Microseconds = 200 * MILLISECOND;

/// A request that was charged. What didn't run is given back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaPermit {
    tenant: String,
    token: QuotaToken,
}

impl QuotaPermit {
    /// Gives the token back, as the request did not run.
    pub fn give_back(self, quota: &Quota) {
        if let Some(purse) = quota.purses().get_mut(&self.tenant) {
            purse.put_back(self.token, clock::now());
        }
    }
}

/// Charges a request to the limit of its tenant, if that has one. A call of a chain has no tenant of its own.
///
/// # Errors
/// [`Reason::OverQuota`] at the limit, [`Reason::NoSeat`] where nobody can tell. Not run.
pub async fn admit(shared: &Arc<Shared>, request: &RequestState) -> Result<Option<QuotaPermit>, Rejection> {
    let limited = |tenant: &&Arc<Tenant>| shared.quota.is_needed() && limit_of(tenant).is_some();
    let Some(tenant) = request.tenant.as_ref().filter(limited) else { return Ok(None) };
    let charge = Charge { shared, tenant: &tenant.name };
    charge.note_request();
    if let Some(permit) = charge.take() {
        return Ok(Some(permit));
    }
    let mut answered = false;
    let seats = shared.quota.directory.in_order(&shared.settings.zone, |below| rand::random_range(0..below));
    for (seat, place) in seats {
        if !charge.may_ask(seat) {
            answered = true;
            continue;
        }
        answered |= charge.ask(seat, place).await;
        if let Some(permit) = charge.take() {
            return Ok(Some(permit));
        }
    }
    Err(if answered { charge.at_limit() } else { no_seat() })
}

/// One request that is being charged.
struct Charge<'a> {
    shared: &'a Arc<Shared>,
    tenant: &'a str,
}

impl Charge<'_> {
    fn note_request(&self) {
        let mut purses = self.shared.quota.purses();
        if !purses.contains_key(self.tenant) {
            purses.insert(self.tenant.to_owned(), Default::default());
        }
        if let Some(purse) = purses.get_mut(self.tenant) {
            purse.note_request(clock::now());
        }
    }

    fn take(&self) -> Option<QuotaPermit> {
        let token = self.shared.quota.purses().get_mut(self.tenant)?.take(clock::now())?;
        Some(QuotaPermit { tenant: self.tenant.to_owned(), token })
    }

    fn may_ask(&self, seat: SeatNumber) -> bool {
        let purses = self.shared.quota.purses();
        purses.get(self.tenant).is_none_or(|purse| purse.may_ask(seat, clock::now()))
    }

    /// Asks a seat for tokens. False when its holder did not answer.
    async fn ask(&self, seat: SeatNumber, place: SeatPlace) -> bool {
        let quota = &self.shared.quota;
        let asked = clock::now();
        let lifetime = quota.policy.token_lifetime();
        let wanted = quota.purses().get(self.tenant).map_or(1, |purse| purse.wanted(lifetime));
        let Some(grant) = self.grant_of(seat, place, wanted).await else {
            quota.directory.note_silent(seat);
            return false;
        };
        if let Some(purse) = quota.purses().get_mut(self.tenant) {
            purse.take_in(seat, grant, asked, lifetime, clock::now());
        }
        true
    }

    async fn grant_of(&self, seat: SeatNumber, place: SeatPlace, wanted: u32) -> Option<QuotaGrant> {
        if place.peer == self.shared.settings.advertise.peer {
            return grant(self.shared, seat, self.tenant, wanted);
        }
        let request = ControlRequest::GetTokens { seat, tenant: self.tenant.to_owned(), wanted };
        let asking = async {
            let connection = self.shared.pool.get(self.shared, place.peer).await.ok()?;
            connection.control(request).await
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, asking).await {
            Ok(Some(ControlReply::Tokens { tokens, pause })) => Some(QuotaGrant { tokens, pause }),
            _ => None,
        }
    }

    fn at_limit(&self) -> Rejection {
        let now = clock::now();
        let purses = self.shared.quota.purses();
        let room_at = purses.get(self.tenant).and_then(|purse| purse.room_at(now));
        let span = room_at.map_or(0, |at| at.since(now)).max(SHORTEST_RETURN);
        let detail = "the tenant is at its limit; come back after Retry-After, or ask for a higher one";
        Rejection::not_run(Reason::OverQuota, detail).retry_after(span)
    }
}

fn no_seat() -> Rejection {
    let detail = "nobody can tell at present what is left of the tenant's limit; come back after Retry-After";
    Rejection::not_run(Reason::NoSeat, detail).retry_after(SEATS_RETURN)
}
