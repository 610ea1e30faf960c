//! A nodo with several dependencies on loopback that fail in different ways. The records of the fake servers
//! show what really happened.
//!
//! The tests run on a paused clock that advances by one millisecond whenever all tasks are idle, so no result
//! depends on the speed of the machine.

mod common;
use common::paused;
use jaspershunt_node::clock::Clock;
use jaspershunt_node::{config, server};
use jaspershunt_operator::{File, read};
use jaspershunt_stand_ins::balancer::{Answer, Balancer, Request};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig, Ended, Mode};
use jaspershunt_stand_ins::directory::Directory;
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use jaspershunt_stand_ins::script::Script;
use jaspershunt_stand_ins::truth::{self, Sent};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// Each class makes one call: "look" to "a", "find" to "b", "sign" to "c".
const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"look","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"},"#,
    r#"{"name":"find","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"},"#,
    r#"{"name":"sign","worth":5,"targetS":2,"deadlineS":4,"semantics":"guarded","windowS":60}],"#,
    r#""domain":{"nCores":4,"heapKb":100000,"runFactor":4,"keyKb":1,"halt":"drop","say":"tokens","#,
    r#""meters":["core_use","on_cores"],"classCalls":[true,true,true],"classSkipWorth":[0.5,0.5,0.5],"#,
    r#""dependsOn":"common","fairCalls":20,"callsOverS":5,"readiness":true},"#,
    r#""allowed":{"retryAfter":true,"maxRetryAfterS":1},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":2,"drainGraceS":0,"graceToAnswerS":0.1},"#,
    r#""orgs":[{"name":"acme","share":1,"allowancePerS":900}],"servers":3}"#
);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Site {
    a: Dependency,
    b: Dependency,
    c: Dependency,
    interpreter: Interpreter,
    directory: Directory,
    balancer: Balancer,
    operators: watch::Sender<Option<Rc<File>>>,
    leave: Option<oneshot::Sender<()>>,
    done: JoinHandle<()>,
    sent: Rc<RefCell<Vec<Sent>>>,
    tasks: Vec<JoinHandle<()>>,
    text: String,
}

/// Returns the operators' file; each dependency has 6 calls, a queue of 3, and a timeout of 400 ms.
fn operator_text(a: &Dependency, b: &Dependency, c: &Dependency) -> String {
    let one = |name: &str, at: &Dependency, more: &str| {
        format!(
            "dependency \"{name}\" {{\n  addresses = [\"{}\"]\n  calls = 6\n  connections = 6\n  waiting = 3\n  \
             wait = \"100ms\"\n  share = \"33%\"\n  timeout = \"400ms\"\n  {more}\n  limit {{\n    start = 6\n  }}\n  \
             breaker {{\n    slow = \"300ms\"\n    window = \"2s\"\n    wait = \"200ms\"\n    longest = \"500ms\"\n  \
             }}\n}}\n",
            at.address()
        )
    };
    [
        one("a", a, "fall_back = \"b\""),
        one("b", b, ""),
        one("c", c, ""),
        "route \"look\" {\n  repeat = \"safe\"\n  without = true\n  call \"any\" {\n    to = \"a\"\n    kept = \"3s\"\n  }\n}\n".into(),
        "route \"find\" {\n  repeat = \"safe\"\n  call \"any\" { to = \"b\" }\n}\n".into(),
        "route \"sign\" {\n  repeat = \"keyed\"\n  call \"any\" { to = \"c\" }\n}\n".into(),
    ]
    .concat()
}

impl Site {
    async fn start() -> Site {
        Site::start_with(|text| text).await
    }

    async fn start_with(change: impl FnOnce(String) -> String) -> Site {
        let a = Dependency::start(DependencyConfig::new("a", 4, ms(20))).await;
        let b = Dependency::start(DependencyConfig::new("b", 4, ms(20))).await;
        let c = Dependency::start(DependencyConfig::new("c", 4, ms(20))).await;
        let once = Work { core_time: ms(2), calls: 1 };
        let classes = [("look", once.clone()), ("find", once.clone()), ("sign", once)];
        let interpreter = Interpreter::start(4, &classes).await;
        let directory = Directory::start().await;
        let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = front.local_addr().unwrap();
        let text = change(operator_text(&a, &b, &c));
        let platform = format!(
            r#"{{"name":"n1","listen":"{address}","vm":"{}","lookup":"{}","db":"127.0.0.1:9","seed":"5","stop_ms":3000,"settings":{SETTINGS}}}"#,
            interpreter.address(),
            directory.address()
        );
        let config = config::read(&platform, |_| None).unwrap();
        let config = config.with_operator(read("t.hcl", &text).unwrap()).unwrap();
        let (_, peers) = watch::channel(config.peers);
        let (operators, operator) = watch::channel(None);
        let (leave, leave_requested) = oneshot::channel();
        // Both begin at the same moment and then follow the runtime's clock.
        let clock = Clock::runtime(UNIX_EPOCH.elapsed().unwrap().as_secs_f64());
        let balancer = Balancer::new(address, 4, Some(interpreter.clone()));
        let run = server::run(config, clock, server::Endpoints::new(front), peers, operator, async {
            let _ = leave_requested.await;
        });
        let done = spawn_local(async move { run.await.unwrap() });
        while directory.mode().as_deref() != Some("open") {
            sleep(ms(1)).await;
        }
        let (sent, tasks) = (Rc::default(), Vec::new());
        let leave = Some(leave);
        Site { a, b, c, interpreter, directory, balancer, operators, leave, done, sent, tasks, text }
    }

    /// Sends a request without waiting for its answer.
    fn send(&mut self, request: Request) {
        let (balancer, sent) = (self.balancer.clone(), self.sent.clone());
        self.tasks.push(spawn_local(async move {
            let answer = balancer.send(&request, ms(6000)).await;
            sent.borrow_mut().push(Sent { request, answer });
        }));
    }

    async fn ask(&mut self, request: Request) -> Answer {
        let answer = self.balancer.send(&request, ms(6000)).await;
        self.sent.borrow_mut().push(Sent { request, answer: answer.clone() });
        answer
    }

    /// Sends one request of each class per interval `each`, for the duration `lasting`.
    async fn load(&mut self, each: Duration, lasting: Duration) {
        let until = Instant::now() + lasting;
        while Instant::now() < until {
            let n = self.tasks.len();
            for class in ["look", "find", "sign"] {
                self.send(request(class, &format!("{class}-{n}")));
            }
            sleep(each).await;
        }
    }

    async fn all_answered(&mut self) {
        for task in self.tasks.drain(..) {
            task.await.unwrap();
        }
    }

    /// Waits for all answers and checks them against the records.
    async fn check(&mut self) {
        self.all_answered().await;
        let faults = truth::check(&self.sent.borrow(), &self.interpreter, &[&self.a, &self.b, &self.c]);
        assert!(faults.is_empty(), "{faults:#?}");
        for dependency in [&self.a, &self.b, &self.c] {
            let record = dependency.record();
            let most = (record.max_in_flight, record.max_connections);
            assert!(most.0 <= 6 && most.1 <= 6, "{}: {most:?} in flight and connections", dependency.name());
        }
    }

    /// Returns the fraction of a class's requests that were served in full, from index `from` of the list on.
    fn served(&self, class: &str, from: usize) -> f64 {
        let sent = self.sent.borrow();
        let of: Vec<&Sent> = sent[from..].iter().filter(|one| one.request.class == class).collect();
        let whole = |one: &&&Sent| one.answer.status == 200 && one.answer.header("x-answer-lacks").is_none();
        of.iter().filter(whole).count() as f64 / of.len().max(1) as f64
    }

    fn count(&self) -> usize {
        self.sent.borrow().len()
    }
}

fn request(class: &str, body: &str) -> Request {
    let key = (class == "sign").then(|| format!("key-{body}"));
    Request { key, ..Request::new(class, body.as_bytes()) }
}

#[test]
fn with_healthy_dependencies_answers_are_complete_and_unlabelled() {
    paused(async {
        let mut site = Site::start().await;
        let answer = site.ask(request("look", "x")).await;
        assert_eq!((answer.status, answer.text().as_str()), (200, "look x [a:x#1]"));
        assert!(answer.header("x-answer-lacks").is_none() && answer.header("x-answer-stale-ms").is_none());
        site.load(ms(20), ms(1000)).await;
        site.check().await;
        assert_eq!(["look", "find", "sign"].map(|class| site.served(class, 0)), [1.0; 3]);
    });
}

#[test]
fn a_dependency_that_accepts_and_never_answers_affects_no_other_class() {
    paused(async {
        for (broken, others) in [(0, ["find", "sign"]), (2, ["look", "find"])] {
            let mut site = Site::start().await;
            [&site.a, &site.b, &site.c][broken].set(Mode::Hanging);
            site.load(ms(20), ms(3000)).await;
            site.check().await;
            for class in others {
                assert_eq!(site.served(class, 0), 1.0, "{class}");
            }
        }
    });
}

/// The first run hangs in its call: a repeat must wait for it or fail, and must not run.
#[test]
fn a_repeat_of_a_keyed_request_whose_first_run_is_stuck_at_a_call_does_not_run() {
    paused(async {
        let mut site = Site::start().await;
        site.c.set(Mode::Hanging);
        site.send(request("sign", "one"));
        while site.c.record().calls.is_empty() {
            sleep(ms(1)).await;
        }
        for _ in 0..3 {
            site.send(Request { resent: true, ..request("sign", "one") });
        }
        site.check().await;
        assert_eq!(site.interpreter.runs().len(), 1);
        assert_eq!(site.c.record().calls.len(), 1);
        assert!(site.sent.borrow().iter().all(|one| one.answer.status == 500));
        // After the dependency recovers, the key stays used.
        site.c.set(Mode::Good);
        let again = site.ask(Request { resent: true, ..request("sign", "one") }).await;
        assert_eq!((again.status, site.interpreter.runs().len()), (500, 1));
        site.check().await;
    });
}

#[test]
fn calls_answered_just_after_the_timeout_are_not_retried() {
    paused(async {
        let mut site = Site::start().await;
        site.c.set(Mode::After(ms(401)));
        site.load(ms(40), ms(2000)).await;
        site.check().await;
        assert_eq!(site.served("sign", 0), 0.0);
        assert_eq!([site.served("look", 0), site.served("find", 0)], [1.0, 1.0]);
        let given_up = site.c.record().calls.iter().filter(|call| call.ended == Ended::Abandoned).count();
        assert!(given_up > 0);
    });
}

#[test]
fn a_flapping_dependency_affects_only_the_class_that_calls_it() {
    paused(async {
        let mut site = Site::start().await;
        let script = Script::flap(ms(500), Mode::Failing, ms(1000), ms(6500));
        let flapping = site.c.clone();
        let play = spawn_local(async move { script.play(&flapping).await });
        site.load(ms(40), ms(6000)).await;
        site.check().await;
        assert_eq!([site.served("look", 0), site.served("find", 0)], [1.0, 1.0]);
        let sign = site.served("sign", 0);
        assert!((0.3..0.9).contains(&sign), "{sign}");
        play.await.unwrap();
    });
}

#[test]
fn a_dependency_that_recovers_under_full_load_stays_up() {
    paused(async {
        let mut site = Site::start().await;
        // As much load as the slots can take.
        site.load(ms(6), ms(500)).await;
        site.b.set(Mode::Failing);
        site.load(ms(6), ms(2000)).await;
        site.b.set(Mode::Good);
        site.load(ms(6), ms(1500)).await;
        site.all_answered().await;
        let from = site.count();
        site.load(ms(6), ms(1500)).await;
        site.check().await;
        let find = site.served("find", from);
        assert!(find >= 0.95, "{find}");
    });
}

#[test]
fn when_the_fall_back_fails_too_answers_are_labelled_incomplete() {
    paused(async {
        let mut site = Site::start().await;
        site.a.set(Mode::Failing);
        site.load(ms(30), ms(1500)).await;
        let elsewhere = site.b.record().calls.iter().filter(|call| call.body.starts_with(b"look")).count();
        assert!(elsewhere > 0, "nothing fell back");
        site.b.set(Mode::Refusing);
        site.load(ms(30), ms(1500)).await;
        site.check().await;
        let lacking = |one: &&Sent| one.answer.header("x-answer-lacks") == Some("a");
        assert!(site.sent.borrow().iter().filter(lacking).count() > 10);
        assert_eq!(site.served("sign", 0), 1.0);
    });
}

#[test]
fn with_all_dependencies_down_requests_are_answered_soon_and_labelled_correctly() {
    paused(async {
        let mut site = Site::start().await;
        for dependency in [&site.a, &site.b, &site.c] {
            dependency.set(Mode::Down);
        }
        site.load(ms(20), ms(1500)).await;
        site.check().await;
        for one in site.sent.borrow().iter() {
            let expected = if one.request.class == "look" { 200 } else { 500 };
            assert_eq!(one.answer.status, expected, "{one:?}");
            assert!(one.answer.took < ms(500), "{one:?}");
        }
    });
}

#[test]
fn a_cached_reply_is_served_with_its_age_until_it_is_too_old() {
    paused(async {
        let mut site = Site::start().await;
        assert_eq!(site.ask(request("look", "ana")).await.status, 200);
        for dependency in [&site.a, &site.b] {
            dependency.set(Mode::Down);
        }
        sleep(ms(1000)).await;
        let kept = site.ask(request("look", "ana")).await;
        assert_eq!(kept.text(), "look ana [a:ana#1]");
        let age: u64 = kept.header("x-answer-stale-ms").unwrap().parse().unwrap();
        assert!((1000..1200).contains(&age), "{age}");
        // Neither another request's cached reply nor one past its maximum age is used.
        assert_eq!(site.ask(request("look", "eva")).await.header("x-answer-lacks"), Some("a"));
        sleep(ms(2100)).await;
        let late = site.ask(request("look", "ana")).await;
        assert_eq!((late.header("x-answer-stale-ms"), late.header("x-answer-lacks")), (None, Some("a")));
        site.check().await;
    });
}

#[test]
fn budgets_and_addresses_change_under_load_and_in_flight_calls_finish_at_the_old_address() {
    paused(async {
        let mut site = Site::start().await;
        let elsewhere = Dependency::start(DependencyConfig::new("c", 4, ms(20))).await;
        site.c.set(Mode::After(ms(250)));
        site.load(ms(20), ms(200)).await;
        let at_old = site.c.in_flight();
        assert!(at_old > 0);
        let moved = site.text.replace(&site.c.address().to_string(), &elsewhere.address().to_string());
        site.operators.send_replace(Some(Rc::new(read("t.hcl", &moved).unwrap())));
        site.load(ms(20), ms(500)).await;
        site.all_answered().await;
        assert!(!elsewhere.record().calls.is_empty());
        let well = site.c.record().calls.iter().filter(|call| call.ended == Ended::Succeeded).count();
        assert!(well >= at_old, "{well} of {at_old} in flight ended well");
        let before = site.c.record().calls.len();
        // From here on, one call at a time.
        let one = moved.replace("calls = 6", "calls = 1");
        site.operators.send_replace(Some(Rc::new(read("t.hcl", &one).unwrap())));
        sleep(ms(300)).await;
        let from = site.b.record().calls.len();
        site.load(ms(10), ms(500)).await;
        site.all_answered().await;
        assert!(site.b.record().calls[from..].iter().all(|call| call.in_flight == 1));
        assert_eq!(site.c.record().calls.len(), before);
        let faults =
            truth::check(&site.sent.borrow(), &site.interpreter, &[&site.a, &site.b, &site.c, &elsewhere]);
        assert!(faults.is_empty(), "{faults:#?}");
    });
}

/// A file that cannot be applied changes nothing: the module learns only at startup which calls it may skip.
#[test]
fn a_file_that_changes_which_classes_may_skip_their_call_needs_a_restart() {
    paused(async {
        let mut site = Site::start().await;
        let other = site.text.replace("without = true", "without = false").replace("calls = 6", "calls = 1");
        site.operators.send_replace(Some(Rc::new(read("t.hcl", &other).unwrap())));
        site.load(ms(10), ms(500)).await;
        site.check().await;
        assert!(site.b.record().max_in_flight > 1, "the budget was applied");
    });
}

#[test]
fn noise_resets_and_endless_replies_of_one_dependency_do_not_affect_the_others() {
    paused(async {
        let mut site = Site::start().await;
        for mode in [Mode::Noisy, Mode::Endless, Mode::Resetting] {
            site.c.set(mode);
            site.load(ms(40), ms(1000)).await;
        }
        site.check().await;
        assert_eq!([site.served("look", 0), site.served("find", 0), site.served("sign", 0)], [1.0, 1.0, 0.0]);
    });
}

#[test]
fn a_nodo_that_drains_with_open_breakers_and_hanging_calls_answers_all_before_it_exits() {
    paused(async {
        let mut site = Site::start().await;
        site.c.set(Mode::Failing);
        site.a.set(Mode::Hanging);
        site.load(ms(20), ms(1000)).await;
        site.c.set(Mode::Hanging);
        let drain_started = Instant::now();
        site.leave.take().unwrap().send(()).unwrap();
        site.check().await;
        assert!(drain_started.elapsed() < ms(3000), "{:?}", drain_started.elapsed());
        (&mut site.done).await.unwrap();
        assert!(drain_started.elapsed() < ms(3000), "{:?}", drain_started.elapsed());
        assert_eq!(site.directory.mode().as_deref(), Some("closed"));
    });
}

/// Random failure scripts from fixed seeds.
#[test]
fn under_random_failures_labels_are_correct_and_no_budget_is_exceeded() {
    paused(async {
        for seed in 0..4 {
            let mut site = Site::start().await;
            let plays: Vec<JoinHandle<()>> = [&site.a, &site.b, &site.c]
                .into_iter()
                .enumerate()
                .map(|(place, dependency)| {
                    let script = Script::random(seed * 3 + place as u64, 3, ms(3000));
                    let dependency = dependency.clone();
                    spawn_local(async move { script.play(&dependency).await })
                })
                .collect();
            site.load(ms(15), ms(3500)).await;
            site.check().await;
            for play in plays {
                play.await.unwrap();
            }
        }
    });
}

/// A class whose call may be skipped by the settings but not by the operators' file fails; it is not answered
/// in part.
#[test]
fn a_class_is_not_answered_without_its_call_unless_the_file_allows_it() {
    paused(async {
        let mut site = Site::start_with(|text| text.replace("without = true", "without = false")).await;
        for dependency in [&site.a, &site.b, &site.c] {
            dependency.set(Mode::Down);
        }
        site.load(ms(20), ms(500)).await;
        site.check().await;
        assert!(site.sent.borrow().iter().all(|one| one.answer.status == 500));
    });
}
