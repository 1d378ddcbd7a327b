//! Asking another daemon's controllers, over the links that carry calls.

use crate::shared::Shared;
use futures_util::future::join_all;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_core::roster::WitnessId;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for another daemon's answer, including a new connection where there is none. Chosen, not measured.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks a daemon; none when it can't be reached or does not answer in time, in which case the caller asks another one or tries again.
pub async fn ask_daemon(
    shared: &Arc<Shared>,
    daemon: Address,
    request: ControlRequest,
) -> Option<ControlReply> {
    in_time(async {
        let connection = shared.pool.get(shared, daemon).await.ok()?;
        connection.control(request).await
    })
    .await
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
    in_time(async {
        let connection = shared.pool.get_witness(shared, witness).await?;
        connection.control(request).await
    })
    .await
}

/// Asks several witnesses at once; their answers in the same order.
pub async fn ask_witnesses(
    shared: &Arc<Shared>,
    witnesses: &[WitnessId],
    request: &ControlRequest,
) -> Vec<Option<ControlReply>> {
    join_all(witnesses.iter().map(|witness| ask_witness(shared, *witness, request.clone()))).await
}

async fn in_time(asking: impl Future<Output = Option<ControlReply>>) -> Option<ControlReply> {
    tokio::time::timeout(ASK_TIMEOUT, asking).await.ok().flatten()
}
