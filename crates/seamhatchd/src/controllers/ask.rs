//! Asking another daemon's controllers.

use crate::shared::Shared;
use seamhatch_core::generation::Generation;
use seamhatch_core::identity::Address;
use seamhatch_wire::{ControlReply, ControlRequest};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a daemon's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Asks a daemon; none when it can't be reached or does not answer in time.
pub async fn ask_daemon(
    shared: &Arc<Shared>,
    daemon: Address,
    request: ControlRequest,
) -> Option<ControlReply> {
    let asking = async {
        let connection = shared.pool.get(shared, daemon).await.ok()?;
        connection.control(request).await
    };
    tokio::time::timeout(ASK_TIMEOUT, asking).await.ok().flatten()
}

/// Asks a daemon for its configuration if that is above `have`.
pub async fn ask_generation(shared: &Arc<Shared>, daemon: Address, have: Generation) -> Option<ControlReply> {
    ask_daemon(shared, daemon, ControlRequest::GetConfiguration { have }).await
}
