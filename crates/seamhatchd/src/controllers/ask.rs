//! Questions to other daemons' controllers that several controllers ask. The time-out is [`PeerPool::ask`]'s.

use crate::peer::PeerPool;
use futures_util::future::join_all;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest, HOLDS_SEALED};
use std::sync::Arc;

/// Asks a daemon for its configuration if that is above `have`; none when it can't be reached or does not answer in time.
pub async fn ask_generation(pool: &Arc<PeerPool>, daemon: Address, have: Generation) -> Option<ControlReply> {
    pool.ask(daemon, ControlRequest::GetConfiguration { have }).await
}

/// Asks several witnesses at once. Their answers in the same order; none for one of which this very incarnation does not answer in time.
pub async fn ask_witnesses(
    pool: &Arc<PeerPool>,
    witnesses: &[WitnessId],
    request: &ControlRequest,
) -> Vec<Option<ControlReply>> {
    join_all(witnesses.iter().map(|witness| pool.ask_witness(*witness, request.clone()))).await
}

/// Asks a daemon about memories of retired witnesses; none when it is of a release before them, can't be reached or does not answer in time.
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
