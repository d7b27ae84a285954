//! Reports clients that disconnect before their response.

use sedgestack::RequestId;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::net::control::message::Message;

/// Reports when dropped that the client disconnected, unless the request was answered: when a client disconnects, the
/// handler of its request is dropped, and this value with it.
pub(super) struct DisconnectGuard {
    id: RequestId,
    control: mpsc::Sender<Message>,
    client_gone: CancellationToken,
    is_answered: bool,
}

impl DisconnectGuard {
    /// Creates the guard of request `id`. If its client disconnects, `client_gone` is cancelled and `control` is
    /// notified.
    pub(super) fn new(
        id: RequestId,
        control: mpsc::Sender<Message>,
        client_gone: CancellationToken,
    ) -> DisconnectGuard {
        DisconnectGuard { id, control, client_gone, is_answered: false }
    }

    /// Records that the request was answered: dropping this value then reports nothing.
    pub(super) fn on_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.client_gone.cancel();
        let abandoned = Message::Abandoned(self.id);
        // The message must not be lost when the mailbox is full: attempts for the request would never be ended.
        if let Err(mpsc::error::TrySendError::Full(abandoned)) = self.control.try_send(abandoned) {
            let control = self.control.clone();
            tokio::spawn(async move { control.send(abandoned).await });
        }
    }
}
