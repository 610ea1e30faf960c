//! Relays messages between two processes, for tests of upgrades.

use jaspershunt_node::upgrade::link::{Reader, Writer, ends};
use std::cell::Cell;
use std::os::fd::AsFd;
use tokio::net::UnixStream;

/// Relays messages and their descriptors between two processes until a link ends or `keep_relaying` returns
/// false. It is called before each message with the number of messages relayed so far.
pub async fn relay_messages(
    earlier: UnixStream,
    later: UnixStream,
    keep_relaying: impl AsyncFn(usize) -> bool,
) {
    let relayed = Cell::new(0);
    let ((mut from_earlier, mut to_earlier), (mut from_later, mut to_later)) = (ends(earlier), ends(later));
    let pass = async |from: &mut Reader, to: &mut Writer| {
        while let Ok((message, descriptor)) = from.next().await {
            if !keep_relaying(relayed.get()).await {
                return;
            }
            relayed.set(relayed.get() + 1);
            if to.send(&message, descriptor.as_ref().map(AsFd::as_fd)).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = pass(&mut from_earlier, &mut to_later) => {}
        () = pass(&mut from_later, &mut to_earlier) => {}
    }
}
