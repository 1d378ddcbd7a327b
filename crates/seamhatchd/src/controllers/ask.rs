//! Asking another daemon's controllers, over the links that carry calls.

use crate::shared::Shared;
use futures_util::future::join_all;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;

/// Asks a daemon; none when it can't be reached or does not answer in time, in which case the caller asks another one or tries again.
pub async fn ask_daemon(
    shared: &Arc<Shared>,
    daemon: Address,
    request: ControlRequest,
) -> Option<ControlReply> {
    shared.pool.ask(daemon, request).await
}

/// Asks a daemon for its configuration if that is above `have`.
pub async fn ask_generation(shared: &Arc<Shared>, daemon: Address, have: Generation) -> Option<ControlReply> {
    ask_daemon(shared, daemon, ControlRequest::GetConfiguration { have }).await
}

/// Asks one witness; none unless this very incarnation of it answers in time.
pub async fn ask_witness(
    shared: &Arc<Shared>,
    witness: WitnessId,
    request: ControlRequest,
) -> Option<ControlReply> {
    shared.pool.ask_witness(witness, request).await
}

/// Asks several witnesses at once; their answers in the same order.
pub async fn ask_witnesses(
    shared: &Arc<Shared>,
    witnesses: &[WitnessId],
    request: &ControlRequest,
) -> Vec<Option<ControlReply>> {
    join_all(witnesses.iter().map(|witness| ask_witness(shared, *witness, request.clone()))).await
}
