//! Requests to other daemons' controllers that are shared by several callers. [`PeerPool::ask`] applies the time-out.

use crate::peer::PeerPool;
use futures_util::future::join_all;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest, HOLDS_SEALED};
use std::sync::Arc;

/// Requests the configuration of a daemon if it is newer than `have`. Returns none if the daemon is unreachable or does not
/// answer in time.
pub async fn ask_generation(pool: &Arc<PeerPool>, daemon: Address, have: Generation) -> Option<ControlReply> {
    pool.ask(daemon, ControlRequest::GetConfiguration { have }).await
}

/// Asks several witnesses concurrently, and returns their answers in the same order. The answer is none for a witness whose
/// requested incarnation does not answer in time.
pub async fn ask_witnesses(
    pool: &Arc<PeerPool>,
    witnesses: &[WitnessId],
    request: &ControlRequest,
) -> Vec<Option<ControlReply>> {
    join_all(witnesses.iter().map(|witness| pool.ask_witness(*witness, request.clone()))).await
}

/// Asks a daemon about the records of retired witnesses. Returns none if its release does not support them, or if it is
/// unreachable or does not answer in time.
pub async fn ask_holder(
    pool: &Arc<PeerPool>,
    daemon: Address,
    request: ControlRequest,
) -> Option<ControlReply> {
    let connection = pool.get(daemon).await.ok()?;
    if connection.additions < HOLDS_SEALED {
        return None;
    }
    pool.ask(daemon, request).await
}
