//! Takeover of in-flight work between real nodos under compound failures: a lost successor, an upgrade, a
//! restart of all nodos, an empty disk, a class missing from the settings, a caller that disconnects, a key
//! whose window ends. Safety is checked after the run, without tolerance, from the records of the resource
//! and the clients; progress is checked within generous timeouts.

use jaspershunt_histories::check_folder;
use jaspershunt_histories::format::{Came, FILE_BYTES, Op, Told, Value, Who, WorkEnd, Writer};
use jaspershunt_stand_ins::balancer::{Answer, Balancer, Request};
use jaspershunt_stand_ins::fleet::Fleet;
use jaspershunt_stand_ins::nodo::Incarnation;
use jaspershunt_stand_ins::resource::Resource;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const PROGRAM: &str = env!("CARGO_BIN_EXE_jaspershunt");
const TTL: Duration = Duration::from_secs(1);
/// Time allowed for each expected progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(40);
/// A client abandons a try after this time and retries at another nodo.
const TRY_TIMEOUT: Duration = Duration::from_secs(8);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const DEFAULT_SIGN_CLASS: &str =
    r#"{"name":"sign","worth":3,"targetS":2,"deadlineS":3,"semantics":"guarded","windowS":30}"#;

fn local(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(Duration::from_secs(120), test).await.expect("the test hangs");
    });
}

/// Deployment settings of one test.
struct SiteConfig {
    nodos: usize,
    effect: &'static str,
    /// Deadline of class `sign`.
    deadline_seconds: u64,
    /// Deduplication window of class `sign`.
    window_seconds: u64,
    /// Duration of an operation at the resource.
    operation_duration: Duration,
    /// Duration of the operation of the first key, which is run during startup.
    first_operation_duration: Duration,
    /// Nodos whose operator files name another class.
    nodos_without_class: &'static [usize],
    single_core_nodos: &'static [usize],
}

impl Default for SiteConfig {
    fn default() -> SiteConfig {
        let operation_duration = Duration::from_millis(300);
        let first_operation_duration = Duration::from_millis(50);
        SiteConfig {
            nodos: 5,
            effect: "asks",
            deadline_seconds: 20,
            window_seconds: 60,
            operation_duration,
            first_operation_duration,
            nodos_without_class: &[],
            single_core_nodos: &[],
        }
    }
}

/// Status and body of each answered try, by key.
type Tries = BTreeMap<String, Vec<(u16, String)>>;

/// The clients of a test, with the nodos' addresses and the recorded tries.
#[derive(Clone)]
struct Clients {
    start: Instant,
    history: Rc<RefCell<Writer<File>>>,
    tries: Rc<RefCell<Tries>>,
    addresses: Vec<SocketAddr>,
    balancer_count: Rc<Cell<u64>>,
}

impl Clients {
    /// Sends one try and records it in the history, before sending and at its end. A rejected try has run
    /// nothing, but another try of its key may have.
    async fn send_once(&self, key: &str, at: usize, resent: bool) -> Answer {
        self.balancer_count.set(self.balancer_count.get() + 1);
        let balancer = Balancer::new(self.addresses[at], self.balancer_count.get(), None);
        let due = nanos(self.start.elapsed() + Duration::from_secs(60));
        let op = Op::Offer { key: key.to_string(), due, leaves_effect: true };
        let ticket = self.history.borrow_mut().begin(nanos(self.start.elapsed()), op).unwrap();
        let request = Request { key: Some(key.to_string()), resent, ..Request::new("sign", key.as_bytes()) };
        let answer = balancer.send(&request, TRY_TIMEOUT).await;
        let outcome = match answer.status {
            200 => Came::Ok(Told::Work { end: WorkEnd::Done(Value::of(&answer.body)), token: None }),
            503 => Came::Failed,
            _ => Came::Unknown,
        };
        self.history.borrow_mut().end(ticket, nanos(self.start.elapsed()), outcome).unwrap();
        let status_and_body = (answer.status, answer.text());
        self.tries.borrow_mut().entry(key.to_string()).or_default().push(status_and_body);
        answer
    }

    /// Tries the nodos in turn, starting at `first`, until one answers with 200.
    async fn until_served(self, key: String, first: usize) {
        for n in 0.. {
            let at = (first + n) % self.addresses.len();
            if self.send_once(&key, at, n > 0).await.status == 200 {
                return;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

struct Deployment {
    histories: PathBuf,
    fleet: Fleet,
    resource: Resource,
    clients: Clients,
}

impl Deployment {
    async fn started(name: &str, site: SiteConfig) -> Deployment {
        let resource = Resource::start(true, site.first_operation_duration).await;
        let mut fleet = Fleet::new(Path::new(PROGRAM), name, (site.nodos, 3), TTL, &[]).await.unwrap();
        for (n, nodo) in fleet.nodos.iter_mut().enumerate() {
            let effect_settings = match site.effect {
                "asks" => format!("  resource = \"{}\"\n  path = \"/operaciones\"\n", resource.address()),
                _ => String::new(),
            };
            let class = if site.nodos_without_class.contains(&n) { "slow" } else { "sign" };
            let file = nodo.operator.take().unwrap();
            let block =
                format!("handover \"{class}\" {{\n  effect = \"{}\"\n{effect_settings}}}\n", site.effect);
            nodo.operator = Some(format!("{file}{block}"));
            nodo.database = Some(resource.address());
            let (deadline, window) = (site.deadline_seconds, site.window_seconds);
            let class_settings = format!(
                r#"{{"name":"sign","worth":3,"targetS":{},"deadlineS":{deadline},"semantics":"guarded","windowS":{window}}}"#,
                deadline - 1
            );
            assert!(nodo.settings.contains(DEFAULT_SIGN_CLASS));
            nodo.settings = nodo.settings.replace(DEFAULT_SIGN_CLASS, &class_settings);
            if site.single_core_nodos.contains(&n) {
                nodo.settings = nodo.settings.replace("\"nCores\":8", "\"nCores\":1");
            }
        }
        fleet.start_all().await.unwrap();
        let histories = fleet.nodos[0].folder.join("histories");
        std::fs::create_dir_all(&histories).unwrap();
        let history = Writer::create(&histories, &Who::new("clients", 1), FILE_BYTES).unwrap();
        let clients = Clients {
            start: Instant::now(),
            history: Rc::new(RefCell::new(history)),
            tries: Rc::default(),
            addresses: fleet.nodos.iter().map(|nodo| nodo.address).collect(),
            balancer_count: Rc::default(),
        };
        let deployment = Deployment { histories, fleet, resource, clients };
        deployment.within("election of the voters", deployment.fleet.wait_for_votes()).await;
        // Sent to the last nodo, which has the class in every test: a nodo without it would run the
        // request unqueued and without its key.
        let (clients, at) = (deployment.clients.clone(), site.nodos - 1);
        let first = spawn_local(async move {
            while clients.send_once("first", at, true).await.status != 200 {
                sleep(RETRY_INTERVAL).await;
            }
        });
        deployment.within("answer to the first key", first).await.unwrap();
        deployment.resource.set_duration(site.operation_duration);
        let capacity_reported = async {
            // All nodos report their capacity within a second of their start.
            sleep(Duration::from_millis(1200)).await;
        };
        deployment.within("capacity reports", capacity_reported).await;
        deployment
    }

    async fn within<T>(&self, what: &str, future: impl Future<Output = T>) -> T {
        match timeout(PROGRESS_TIMEOUT, future).await {
            Ok(output) => output,
            Err(_) => {
                let work = self.fleet.show(0).await.map(|shown| shown["work"].clone());
                panic!(
                    "timed out: {what}: {:#?} {work:#?} {}",
                    self.clients.tries.borrow(),
                    self.fleet.logs()
                )
            }
        }
    }

    fn client(&self, key: &str, first: usize) -> JoinHandle<()> {
        spawn_local(self.clients.clone().until_served(key.to_string(), first))
    }

    fn send_once(&self, key: &str, at: usize, resent: bool) -> JoinHandle<Answer> {
        let (clients, key) = (self.clients.clone(), key.to_string());
        spawn_local(async move { clients.send_once(&key, at, resent).await })
    }

    /// Returns how many effects a key has had and how many of them have ended.
    fn effects(&self, key: &str) -> (usize, usize) {
        let effects = self.resource.effects();
        let of_key = || effects.iter().filter(|effect| effect.key == key);
        (of_key().count(), of_key().filter(|effect| effect.end.is_some()).count())
    }

    async fn wait_for_effect(&self, key: &str) {
        let effect_started = async {
            while self.effects(key).0 == 0 {
                sleep(POLL_INTERVAL).await;
            }
        };
        self.within("start of the effect", effect_started).await;
    }

    /// Waits until `observer` reports an owner of the key outside `excluded`, and returns that owner.
    async fn wait_for_owner_except(&self, key: &str, excluded: &[usize], observer: usize) -> usize {
        let owner = async {
            loop {
                if let Some(shown) = self.fleet.show(observer).await
                    && let Some(work) = shown["work"].as_array()
                    && let Some(item) = work.iter().find(|item| item["key"] == key)
                    && let Some(owner) =
                        self.fleet.nodos.iter().position(|nodo| item["owner"] == nodo.name.as_str())
                    && !excluded.contains(&owner)
                {
                    return owner;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        self.within("change of owner", owner).await
    }

    /// Checks that no key had its effect twice and that none was answered with 200 without an effect.
    fn assert_no_repeated_effect(&self) {
        for key in self.clients.tries.borrow().keys() {
            assert!(self.effects(key).0 <= 1, "{key} had its effect more than once: {}", self.fleet.logs());
        }
        self.assert_served_keys_have_effects();
    }

    /// Checks that no key was answered with 200 without an effect.
    fn assert_served_keys_have_effects(&self) {
        for (key, tries) in self.clients.tries.borrow().iter() {
            let served = tries.iter().any(|(status, _)| *status == 200);
            let has_effect = self.effects(key).0 > 0;
            assert!(has_effect || !served, "{key} was answered with 200 but had no effect: {tries:?}");
        }
    }

    /// Adds the effects at the resource to the histories, on the clients' clock, and checks the histories.
    fn assert_histories_valid(&self) {
        let mut resource = Writer::create(&self.histories, &Who::new("resource", 1), FILE_BYTES).unwrap();
        let start = self.clients.start;
        let earlier = start.elapsed().saturating_sub(self.resource.elapsed());
        let later = self.resource.elapsed().saturating_sub(start.elapsed());
        let at = |time: Duration| nanos(time.saturating_add(earlier).saturating_sub(later));
        for effect in self.resource.effects() {
            let who = Who::new("nodo", 0);
            let op = Op::Effect { key: effect.key, fence: None, token: effect.token, who };
            let ticket = resource.begin(at(effect.begin), op).unwrap();
            if let Some(end) = effect.end {
                resource.end(ticket, at(end), Came::Ok(Told::Nothing)).unwrap();
            }
        }
        let report = check_folder(&self.histories).unwrap();
        assert!(report.is_fine(), "{:#?} {}", report.verdicts, self.fleet.logs());
    }

    /// Checks that all 200 answers of a key are equal, that no effect is repeated and that the histories are
    /// valid.
    fn assert_safe(&self) {
        for (key, tries) in self.clients.tries.borrow().iter() {
            let mut served = tries.iter().filter(|(status, _)| *status == 200);
            let first = served.next();
            assert!(served.all(|one| Some(one) == first), "{key} has differing outcomes: {tries:?}");
        }
        self.assert_no_repeated_effect();
        self.assert_histories_valid();
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap()
}

/// The origin node is killed, then its successor: work that has begun has its effect once and its caller is
/// answered.
#[test]
fn work_of_a_failed_successor_is_taken_over_again() {
    local(async {
        let mut deployment = Deployment::started(
            "heirs",
            SiteConfig { operation_duration: Duration::from_millis(2500), ..SiteConfig::default() },
        )
        .await;
        let client = deployment.client("k", 4);
        deployment.wait_for_effect("k").await;
        deployment.fleet.kill(4).await;
        // The successor's query waits for the end of the first run, and the successor is killed meanwhile.
        // Two of three voters stay up throughout.
        let second = deployment.wait_for_owner_except("k", &[4], 0).await;
        if second != 0 {
            deployment.fleet.kill(second).await;
            let third = deployment.wait_for_owner_except("k", &[4, second], 0).await;
            assert!(third != second && third != 4);
        }
        deployment.within("answer to the client", client).await.unwrap();
        assert_eq!(deployment.effects("k").0, 1, "{}", deployment.fleet.logs());
        deployment.assert_safe();
    });
}

/// The origin node is paused after the effect has ended but before its caller has the whole answer. Its
/// successor has answered a repeat by the time it resumes: both answers must be equal.
#[test]
fn an_origin_resumed_before_it_answered_gives_the_same_answer_as_its_successor() {
    local(async {
        let deployment = Deployment::started("wakes", SiteConfig::default()).await;
        let caller = deployment.send_once("k", 3, false);
        deployment.wait_for_effect("k").await;
        let effect_ended = async {
            while deployment.effects("k").1 == 0 {
                sleep(Duration::from_millis(1)).await;
            }
        };
        deployment.within("end of the effect", effect_ended).await;
        deployment.fleet.process(3).pause();
        let repeat = deployment.send_once("k", 1, true);
        let repeated = deployment.within("answer to a repeat", repeat).await.unwrap();
        deployment.fleet.process(3).resume();
        let resumed = deployment.within("answer to the first try", caller).await.unwrap();
        assert_eq!((repeated.status, resumed.status), (200, 200), "{}", deployment.fleet.logs());
        assert_eq!(repeated.body, resumed.body);
        deployment.assert_safe();
    });
}

/// A caller disconnects while its work runs: the run continues, and a repeat at any nodo gets its outcome.
#[test]
fn work_of_a_disconnected_client_continues_and_a_repeat_is_answered() {
    local(async {
        let deployment = Deployment::started(
            "gave-up",
            SiteConfig { operation_duration: Duration::from_millis(900), ..SiteConfig::default() },
        )
        .await;
        let caller = deployment.send_once("k", 2, false);
        deployment.wait_for_effect("k").await;
        caller.abort();
        for at in [0, 2, 4] {
            let repeat = deployment.send_once("k", at, true);
            let answer = deployment.within("answer to a repeat", repeat).await.unwrap();
            assert_eq!(answer.status, 200, "n{at}: {}", deployment.fleet.logs());
        }
        assert_eq!(deployment.effects("k"), (1, 1));
        deployment.assert_safe();
    });
}

/// A second incarnation takes over from the first, which has in-flight work: each key has its effect once,
/// and each caller and repeat is answered.
#[test]
fn an_upgrade_runs_in_flight_work_once_and_answers_every_caller() {
    local(async {
        let mut deployment = Deployment::started(
            "upgraded",
            SiteConfig { operation_duration: Duration::from_millis(3000), ..SiteConfig::default() },
        )
        .await;
        let clients: Vec<_> = (0..6).map(|n| deployment.client(&format!("k{n}"), 3)).collect();
        deployment.wait_for_effect("k5").await;
        let later: Incarnation = deployment.fleet.nodos[3].start().await.unwrap();
        let earlier = deployment.fleet.incarnations[3].replace(later).unwrap();
        earlier.process.terminate();
        let repeats: Vec<_> = (0..6).map(|n| deployment.client(&format!("k{n}"), 3)).collect();
        for client in clients.into_iter().chain(repeats) {
            deployment.within("answers to all clients", client).await.unwrap();
        }
        deployment.assert_safe();
    });
}

/// All nodos are killed with in-flight work and restarted with their disks: the outcome of begun work is
/// queried at the resource, and no key is lost.
#[test]
fn a_restart_of_all_nodos_loses_no_work() {
    local(async {
        let mut deployment = Deployment::started(
            "all",
            SiteConfig { nodos: 7, operation_duration: Duration::from_millis(1500), ..SiteConfig::default() },
        )
        .await;
        let clients: Vec<_> = (0..7).map(|n| deployment.client(&format!("k{n}"), n)).collect();
        deployment.wait_for_effect("k6").await;
        for n in 0..7 {
            deployment.fleet.kill(n).await;
        }
        deployment.fleet.start_all().await.unwrap();
        for client in clients {
            deployment.within("answers to all clients", client).await.unwrap();
        }
        deployment.assert_safe();
    });
}

/// A nodo restarts with an empty disk, once a plain member and once a voter: its work has moved to another
/// nodo, and it runs nothing that it no longer has a record of.
#[test]
fn a_nodo_restarted_with_an_empty_disk_repeats_no_effect() {
    local(async {
        let mut deployment = Deployment::started(
            "empty",
            SiteConfig { operation_duration: Duration::from_millis(800), ..SiteConfig::default() },
        )
        .await;
        for lost in [4, 1] {
            let keys: Vec<String> = (0..4).map(|n| format!("k{lost}-{n}")).collect();
            let clients: Vec<_> = keys.iter().map(|key| deployment.client(key, lost)).collect();
            for key in &keys {
                deployment.wait_for_effect(key).await;
            }
            deployment.fleet.kill(lost).await;
            std::fs::remove_dir_all(deployment.fleet.folder(lost)).unwrap();
            deployment.fleet.start(lost).await.unwrap();
            for client in clients {
                deployment.within("answers to all clients", client).await.unwrap();
            }
            for key in &keys {
                let repeat = deployment.client(key, lost);
                deployment.within("the recorded answer to a repeat", repeat).await.unwrap();
            }
        }
        deployment.assert_safe();
    });
}

/// A lost nodo has more work than its successors have cores for: the surplus waits, and each key has its
/// effect once.
#[test]
fn successors_without_capacity_take_over_gradually() {
    local(async {
        let site = SiteConfig {
            single_core_nodos: &[0, 1, 2, 3],
            operation_duration: Duration::from_millis(200),
            ..SiteConfig::default()
        };
        let mut deployment = Deployment::started("no-room", site).await;
        let keys: Vec<String> = (0..24).map(|n| format!("k{n}")).collect();
        let clients: Vec<_> = keys.iter().map(|key| deployment.client(key, 4)).collect();
        deployment.wait_for_effect("k0").await;
        deployment.fleet.kill(4).await;
        for client in clients {
            deployment.within("answers to all clients", client).await.unwrap();
        }
        deployment.assert_safe();
    });
}

/// No successor's operator file has the class: no nodo knows which resource to query, so the outcome is
/// unknown and the work is never run again.
#[test]
fn begun_work_of_a_class_unknown_to_its_successors_ends_unknown_and_is_not_rerun() {
    local(async {
        let site = SiteConfig {
            nodos_without_class: &[0, 1, 2, 3],
            operation_duration: Duration::from_millis(600),
            ..SiteConfig::default()
        };
        let mut deployment = Deployment::started("no-class", site).await;
        let caller = deployment.send_once("k", 4, false);
        deployment.wait_for_effect("k").await;
        deployment.fleet.kill(4).await;
        assert_eq!(caller.await.unwrap().status, 0, "the only nodo asked was killed");
        let ended = async {
            loop {
                let shown = deployment.fleet.show(0).await;
                let work = shown.as_ref().and_then(|shown| shown["work"].as_array().cloned());
                if work.unwrap_or_default().iter().any(|item| item["key"] == "k" && item["end"] == "unknown")
                {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        deployment.within("end of the work", ended).await;
        deployment.fleet.start(4).await.unwrap();
        let repeat = deployment.send_once("k", 4, true);
        let answer = deployment.within("answer to a repeat", repeat).await.unwrap();
        assert_eq!(answer.status, 500, "{}", deployment.fleet.logs());
        assert_eq!(deployment.effects("k").0, 1);
        deployment.assert_safe();
    });
}

/// A key is reused continually beyond the end of its window: within a window it has one effect, after the
/// window a try may count as new work.
#[test]
fn a_key_reused_as_its_window_ends_has_one_effect_per_window() {
    const WINDOW_SECONDS: u64 = 4;
    local(async {
        let site = SiteConfig {
            deadline_seconds: 3,
            window_seconds: WINDOW_SECONDS,
            operation_duration: Duration::from_millis(50),
            ..SiteConfig::default()
        };
        let deployment = Deployment::started("window", site).await;
        let (start, test_duration) = (Instant::now(), Duration::from_secs(WINDOW_SECONDS + 13));
        let mut at = 0;
        while start.elapsed() < test_duration {
            at += 1;
            let tries: Vec<_> = (0..3).map(|n| deployment.send_once("k", (at + n) % 5, at > 1)).collect();
            for one in tries {
                deployment.within("answer to a try", one).await.unwrap();
            }
            sleep(Duration::from_millis(60)).await;
        }
        let effects: Vec<_> = deployment
            .resource
            .effects()
            .into_iter()
            .filter(|effect| effect.key == "k")
            .map(|e| e.begin)
            .collect();
        assert!(effects.len() >= 2, "the window never ended: {effects:?}");
        for pair in effects.windows(2) {
            assert!(
                pair[1] - pair[0] >= Duration::from_secs(WINDOW_SECONDS),
                "two effects in one window: {effects:?}"
            );
        }
        deployment.assert_served_keys_have_effects();
    });
}

/// A caller that waits at one nodo for work of another is answered before the first nodo exits, however long
/// the work takes.
#[test]
fn a_terminating_nodo_answers_callers_that_wait_for_work_of_another() {
    local(async {
        let operation_duration = Duration::from_millis(4000);
        let mut deployment =
            Deployment::started("waits", SiteConfig { operation_duration, ..SiteConfig::default() }).await;
        let first = deployment.send_once("k", 4, false);
        deployment.wait_for_effect("k").await;
        deployment.fleet.process(4).pause();
        let repeat = deployment.send_once("k", 2, true);
        let waiter_listed = async {
            loop {
                let shown = deployment.fleet.show(0).await;
                let work = shown.as_ref().and_then(|shown| shown["work"].as_array().cloned());
                let waits = |item: &serde_json::Value| {
                    item["key"] == "k" && item["waiters"].as_array().is_some_and(|all| !all.is_empty())
                };
                if work.unwrap_or_default().iter().any(waits) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        deployment.within("listing of the waiter", waiter_listed).await;
        let mut terminating = deployment.fleet.incarnations[2].take().unwrap();
        terminating.process.terminate();
        let answer = deployment.within("answer to the waiter", repeat).await.unwrap();
        // On a slow machine the work may end before the nodo does.
        assert!([500, 200].contains(&answer.status), "{} {}", answer.status, deployment.fleet.logs());
        assert!(terminating.process.wait().await);
        assert!(terminating.process.wait().await);
        deployment.fleet.process(4).resume();
        let again = deployment.client("k", 0);
        deployment.within("answer to a repeat", again).await.unwrap();
        deployment.within("answer to the first try", first).await.unwrap();
        deployment.assert_safe();
    });
}
