//! What several tests of two processes need.

use jaspershunt_node::upgrade::link::{Reader, Writer, ends};
use std::cell::Cell;
use std::os::fd::AsFd;
use tokio::net::UnixStream;

/// Passes messages on between two processes, with the descriptors descriptor them, until a link ends or `keep_relaying` says no. That is asked
/// before each message, with how many have relayed.
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
