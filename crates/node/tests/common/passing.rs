//! What several tests of two processes need.

use jaspershunt_node::upgrade::link::{Reader, Writer, ends};
use std::cell::Cell;
use std::os::fd::AsFd;
use tokio::net::UnixStream;

/// Passes messages on between two processes, with the descriptors beside them, until a link ends or `goes_on` says no. That is asked
/// before each message, with how many have passed.
pub async fn pass_on(earlier: UnixStream, later: UnixStream, goes_on: impl AsyncFn(usize) -> bool) {
    let passed = Cell::new(0);
    let ((mut from_earlier, mut to_earlier), (mut from_later, mut to_later)) = (ends(earlier), ends(later));
    let pass = async |from: &mut Reader, to: &mut Writer| {
        while let Ok((message, beside)) = from.next().await {
            if !goes_on(passed.get()).await {
                return;
            }
            passed.set(passed.get() + 1);
            if to.send(&message, beside.as_ref().map(AsFd::as_fd)).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = pass(&mut from_earlier, &mut to_later) => {}
        () = pass(&mut from_later, &mut to_earlier) => {}
    }
}
