//! Tests of the link between two processes of one nodo.

use super::*;
use crate::config;
use tokio::net::UnixStream;
use tokio::task::LocalSet;

const CONFIG: &str = concat!(
    r#"{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","settings":"#,
    r#"{"classes":[{"name":"read","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"}],"#,
    r#""domain":{"nCores":1,"heapKb":10000,"runFactor":4,"halt":"drop","say":"tokens","meters":["on_cores"]},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":2}}}"#
);
/// The branches of the link are polled in an order drawn anew each time.
const ROUNDS: usize = 60;

/// Guards against messages that are dropped unread, with the connections that they carry: a process that stalled finds,
/// as it sends its heartbeat, that the other one has ended, before it has read what that one wrote.
#[test]
fn what_an_ended_process_wrote_is_read_though_nothing_can_be_sent_to_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let config = config::read(CONFIG, |_| None).unwrap();
        for round in 0..ROUNDS {
            let (engine, mut inputs) = mpsc::channel(99);
            let idle = watch::channel(IdlePolicy::default()).1;
            let facts = watch::channel(Rc::new(config.facts())).1;
            let front = Rc::new(Connections::new(&config, engine.clone(), idle, facts, Rc::default()));
            let listeners = Rc::new(Listeners::new(front));
            let (mine, theirs) = UnixStream::pair().unwrap();
            let (_, mut writer) = ends(theirs);
            for on in [true, false] {
                writer.send(&Message::Lameduck { on }, None).await.unwrap();
            }
            writer.send(&Message::Farewell, None).await.unwrap();
            drop(writer);
            let (out, outs) = mpsc::channel(9);
            out.try_send(Message::Ready.into()).unwrap();
            let (reader, writer) = ends(mine);
            let link = Linked { reader, writer };
            take_over(link, false, (out, outs), engine, listeners, oneshot::channel().0).await;
            let mut peers = Vec::new();
            while let Ok(Input::Peer(peer)) = inputs.try_recv() {
                peers.push(peer);
            }
            assert!(
                matches!(peers[..], [Peer::Lameduck { .. }, Peer::Lameduck { .. }, Peer::Farewell]),
                "round {round}: {peers:?}"
            );
        }
    });
}
