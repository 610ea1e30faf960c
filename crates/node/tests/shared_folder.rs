//! Guards against mixing two deployments on one machine whose processes share a name and `$TMPDIR`: neither
//! may take over from the other or know its keys.

#[path = "common/draining.rs"]
mod draining;

use draining::{PROGRAM, PROGRESS_TIMEOUT, local};
use jaspershunt_stand_ins::balancer::Balancer;
use jaspershunt_stand_ins::nodo::{Nodo, keyed};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const MS: Duration = Duration::from_millis(1);

/// The second process waits while the first lives, logs the reason, and leaves its address, requests and keys
/// alone. Then it serves at its own address.
#[test]
fn a_process_with_another_address_does_not_take_over() {
    local(async {
        let mut site = Nodo::new(Path::new(PROGRAM), "shared-folder").await.unwrap();
        let mut first = timeout(PROGRESS_TIMEOUT, site.start()).await.unwrap().unwrap();
        let first_at = site.address;
        let other = Nodo::new(Path::new(PROGRAM), "shared-folder-other").await.unwrap();
        site.address = other.address;
        let mut second = timeout(PROGRESS_TIMEOUT, site.start_without_waiting()).await.unwrap().unwrap();
        let why = second.process.wait_for_output("upgrade: another start does not hand over: ");
        let why = timeout(PROGRESS_TIMEOUT, why).await.unwrap_or_else(|_| panic!("{}", site.logs()));
        let expected =
            format!("it is n1 on {}, this process n1 on {first_at}; this one waits", other.address);
        assert_eq!(why, expected);
        assert!(!second.is_ready().await && first.is_ready().await, "{}", site.logs());

        let balancer = Balancer::new(first_at, 1, Some(site.interpreters[0].clone()));
        let request = keyed("sign", "shared", false);
        assert_eq!(balancer.send(&request, PROGRESS_TIMEOUT).await.status, 200, "{}", site.logs());
        assert_eq!((site.interpreters[0].runs().len(), site.interpreters[1].runs().len()), (1, 0));
        first.process.terminate();
        assert!(timeout(PROGRESS_TIMEOUT, first.process.wait()).await.unwrap(), "{}", site.logs());

        timeout(PROGRESS_TIMEOUT, second.wait_until_ready())
            .await
            .unwrap_or_else(|_| panic!("{}", site.logs()));
        let balancer = Balancer::new(other.address, 2, Some(site.interpreters[1].clone()));
        let answer = async {
            // It listens only once it may run new requests.
            loop {
                let answer = balancer.send(&request, PROGRESS_TIMEOUT).await;
                if answer.status != 0 {
                    return answer;
                }
                sleep(MS).await;
            }
        };
        let answer = timeout(PROGRESS_TIMEOUT, answer).await.unwrap_or_else(|_| panic!("{}", site.logs()));
        assert_eq!((answer.status, site.interpreters[1].runs().len()), (200, 1), "{}", site.logs());
        assert!(!site.logs().contains("keys were taken over"), "{}", site.logs());
        second.process.terminate();
        assert!(timeout(PROGRESS_TIMEOUT, second.process.wait()).await.unwrap(), "{}", site.logs());
    });
}
