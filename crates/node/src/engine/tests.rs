//! Tests of the engine, with the test in place of all other tasks and a clock that advances only when idle.

use super::input::{CallEnd, Message, RunEnd};
use super::*;
use crate::request::Work;
use jaspershunt::Outcome;
use tokio::task::LocalSet;
use tokio::time::timeout_at;

pub(super) const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"read","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"},"#,
    r#"{"name":"sign","worth":3,"targetS":2,"deadlineS":4,"semantics":"guarded","windowS":60}],"#,
    r#""domain":{"nCores":1,"heapKb":10000,"runFactor":4,"halt":"drop","say":"tokens","meters":["on_cores"],"#,
    r#""classCalls":[true,true],"dependsOn":"common","fairCalls":3.5,"callsOverS":5,"readiness":true},"#,
    r#""allowed":{"retryAfter":true,"maxRetryAfterS":1},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":2}}"#
);
const UNIX: f64 = 1_764_576_000.0;

pub(super) struct Rig {
    pub(super) engine: Engine,
    began: Instant,
    inputs: mpsc::Receiver<Input>,
    _input: mpsc::Sender<Input>,
    commands: mpsc::Receiver<Command>,
    pub(super) calls: mpsc::Receiver<database::Call>,
    mode: watch::Receiver<Option<Mode>>,
    replies: mpsc::Receiver<(u16, Reply)>,
    reply_to: mpsc::Sender<(u16, Reply)>,
    pos: u64,
}

impl Rig {
    pub(super) fn new() -> Rig {
        Rig::with(SETTINGS)
    }

    pub(super) fn with(settings: &str) -> Rig {
        let mut rig = Rig::before_start(settings);
        let banner = Message::Banner { cold: false, age: 5.0 };
        rig.engine.step([Input::Interpreter(banner), Input::LinkUp]);
        rig
    }

    pub(super) fn before_the_interpreter() -> Rig {
        Rig::before_start(SETTINGS)
    }

    fn before_start(settings: &str) -> Rig {
        let text = format!(
            r#"{{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","settings":{settings}}}"#
        );
        Rig::of(crate::config::read(&text, |_| None).unwrap())
    }

    fn of(config: Config) -> Rig {
        let (input, inputs) = mpsc::channel(100);
        let (interpreter, commands) = mpsc::channel(100);
        let (database, calls) = mpsc::channel(100);
        let (directory, mode) = watch::channel(None);
        let (idle, owed) = (watch::channel(IdlePolicy::default()).0, watch::channel(0).0);
        let (reply_to, replies) = mpsc::channel(100);
        let channels = Channels {
            engine: input.downgrade(),
            interpreter,
            database,
            directory,
            idle,
            owed,
            desk: Rc::default(),
            facts: watch::channel(Rc::new(config.facts())).0,
        };
        let engine = Engine::new(&config, Clock::runtime(UNIX), channels);
        let began = Instant::now();
        Rig { engine, began, inputs, _input: input, commands, calls, mode, replies, reply_to, pos: 0 }
    }

    pub(super) fn work(&self, id: u64, class: usize, waited: f64) -> Input {
        let work = Work {
            uid: format!("{id:016x}").into(),
            class,
            tenant: None,
            caller: jaspershunt::CallerId(id),
            arrived: Some(self.engine.clock.now() - waited),
            caller_timeout: None,
            resent: false,
            cost_hint: None,
            held_kb: 10.0,
            rank: 0.5,
            key: (class == 1).then(|| Key::from("one key")),
            body: vec![1],
        };
        Input::Work { id: RequestId(id), work, reply: ReplyTo::new(self.reply_to.clone(), id as u16) }
    }

    /// The same with the time that the caller waits, counted from the arrival of the request.
    fn work_until(&self, id: u64, class: usize, waited: f64, waits: f64) -> Input {
        match self.work(id, class, waited) {
            Input::Work { id, work, reply } => {
                Input::Work { id, work: Work { caller_timeout: Some(waits), ..work }, reply }
            }
            other => other,
        }
    }

    pub(super) fn value(&mut self, id: u64, end: RunEnd) -> Input {
        self.pos += 1;
        Input::Interpreter(Message::Value { pos: self.pos, uid: format!("{id:016x}").into(), end })
    }

    pub(super) fn wait(&mut self, id: u64) -> Input {
        self.pos += 1;
        Input::Interpreter(Message::Await {
            pos: self.pos,
            uid: format!("{id:016x}").into(),
            content: vec![2],
        })
    }

    /// Advances the clock to this time since the start, and handles all timers that fire.
    pub(super) async fn until(&mut self, seconds: f64) {
        let end = self.began + Duration::from_secs_f64(seconds);
        while let Ok(Some(input)) = timeout_at(end, self.inputs.recv()).await {
            self.engine.step([input]);
        }
    }

    /// The commands since the last call, without requests for the gauges.
    pub(super) fn commands(&mut self) -> Vec<String> {
        let all = std::iter::from_fn(|| self.commands.try_recv().ok());
        let name = |command| match command {
            Command::Apply { uid, .. } => Some(format!("apply {}", &uid[15..])),
            Command::Break { uid } => Some(format!("break {}", &uid[15..])),
            Command::Continue { uid } => Some(format!("continue {}", &uid[15..])),
            Command::Resolve { uid, content } => Some(format!("resolve {} {content:?}", &uid[15..])),
            Command::Stub { uid, pos } => Some(format!("stub {} {pos}", &uid[15..])),
            Command::Gauges { .. } => None,
        };
        all.filter_map(name).collect()
    }

    pub(super) fn answers(&mut self) -> Vec<(u16, Answer)> {
        std::iter::from_fn(|| self.replies.try_recv().ok()).map(|(id, reply)| (id, reply.answer)).collect()
    }
}

/// Runs a test on a clock that advances only when the runtime is idle.
pub(super) fn paused(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

pub(super) fn served(bytes: &[u8]) -> Answer {
    Answer::Served(bytes.into())
}

#[test]
fn running_work_is_failed_on_time_and_a_later_result_serves_its_key() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 1, 0.5);
        rig.engine.step([work]);
        assert_eq!(rig.commands(), ["apply 1"]);
        // The wait counts from the arrival: its 2 s end at 1.5 s, and the answer is given just before.
        rig.until(1.47).await;
        assert_eq!(rig.answers(), []);
        rig.until(1.5).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!(rig.commands(), ["break 1"]);
        // The result crosses the stop command.
        let end = rig.value(1, RunEnd::Done(vec![7]));
        let again = rig.work(2, 1, 0.0);
        rig.engine.step([end, again]);
        assert_eq!(rig.answers(), [(2, served(&[7]))]);
        assert!(rig.commands().is_empty());
    });
}

#[test]
fn a_key_whose_run_had_no_result_neither_runs_again_nor_is_refused() {
    paused(async {
        for end in [RunEnd::Failed, RunEnd::Stopped, RunEnd::NotStarted] {
            let mut rig = Rig::new();
            let work = rig.work(1, 1, 0.0);
            rig.engine.step([work]);
            let end = rig.value(1, end);
            rig.engine.step([end]);
            assert_eq!(rig.answers(), [(1, Answer::Failed)]);
            rig.until(59.0).await;
            let again = rig.work(2, 1, 0.0);
            rig.engine.step([again]);
            assert_eq!(rig.answers(), [(2, Answer::Failed)]);
            assert_eq!(rig.commands(), ["apply 1"]);
            // After the window the key may run again.
            rig.until(60.2).await;
            let late = rig.work(3, 1, 0.0);
            rig.engine.step([late]);
            assert_eq!(rig.commands(), ["apply 3"]);
        }
    });
}

/// Guards against a foreign caller that reuses a key it has seen: with another body it gets no result, and a
/// run that the interpreter rejects does not consume the key.
#[test]
fn a_key_with_another_body_is_rejected() {
    paused(async {
        let mut rig = Rig::new();
        let stranger = |rig: &Rig, id| match rig.work(id, 1, 0.0) {
            Input::Work { id, mut work, reply } => {
                work.body = vec![66];
                Input::Work { id, work, reply }
            }
            other => other,
        };
        let first = stranger(&rig, 1);
        rig.engine.step([first]);
        let rejected = Message::Rejected { command: "APPLY".into(), uid: format!("{:016x}", 1).into() };
        rig.engine.step([Input::Interpreter(rejected)]);
        let work = rig.work(2, 1, 0.0);
        rig.engine.step([work]);
        let during = stranger(&rig, 3);
        rig.engine.step([during]);
        let end = rig.value(2, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        let after = stranger(&rig, 4);
        rig.engine.step([after]);
        assert_eq!(rig.commands(), ["apply 1", "apply 2"]);
        let bad = |id| (id, Answer::Bad);
        assert_eq!(rig.answers(), [(1, Answer::Failed), bad(3), (2, served(&[7])), bad(4)]);
    });
}

#[test]
fn tries_of_one_key_in_one_step_run_once() {
    paused(async {
        let mut rig = Rig::new();
        let tries = [rig.work(1, 1, 0.0), rig.work(2, 1, 0.0)];
        rig.engine.step(tries);
        assert_eq!(rig.commands(), ["apply 2"]);
        assert_eq!(rig.answers(), [(1, Answer::Refused { stay_away: 0.0, last: true })]);
    });
}

/// Guards against a refusal, for lack of room, of a keyed try whose request runs or ran.
// Guards against a key that runs twice, as an earlier try of it is withdrawn just after a later one was read.
#[test]
fn a_try_withdrawn_just_after_its_next_one_leaves_the_key_known() {
    paused(async {
        let mut rig = Rig::new();
        let busy = rig.work(1, 0, 0.0);
        rig.engine.step([busy]);
        let first = rig.work(2, 1, 0.0);
        rig.engine.step([first]);
        assert_eq!(rig.commands(), ["apply 1"]);
        let next = rig.work(3, 1, 0.0);
        rig.engine.step([next, Input::CallerGone { id: RequestId(2) }]);
        assert_eq!(rig.answers(), [(2, Answer::Failed)]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        assert_eq!(rig.commands(), ["apply 3"]);
        // The same while the later one runs, and after the end of its run.
        let again = rig.work(4, 1, 0.0);
        rig.engine.step([again, Input::CallerGone { id: RequestId(3) }]);
        assert!(rig.commands().is_empty());
        let end = rig.value(3, RunEnd::Done(vec![8]));
        rig.engine.step([end]);
        let late = rig.work(5, 1, 0.0);
        rig.engine.step([late]);
        assert!(rig.commands().is_empty());
        let answers = [(1, served(&[7])), (3, Answer::Failed), (4, served(&[8])), (5, served(&[8]))];
        assert_eq!(rig.answers(), answers);
    });
}

#[test]
fn a_try_without_room_is_refused_only_while_its_key_is_unknown() {
    paused(async {
        let mut rig = Rig::new();
        let without_room = |rig: &Rig, id| match rig.work(id, 1, 0.0) {
            Input::Work { id, work, reply } => Input::WorkWithoutRoom { id, work, reply },
            other => other,
        };
        let unknown = without_room(&rig, 1);
        rig.engine.step([unknown]);
        assert_eq!(rig.answers(), [(1, Answer::Refused { stay_away: 1.0, last: false })]);
        assert_eq!(rig.commands(), Vec::<String>::new());
        let first = rig.work(2, 1, 0.0);
        rig.engine.step([first]);
        let running = without_room(&rig, 3);
        rig.engine.step([running]);
        assert_eq!((rig.commands(), rig.answers()), (vec!["apply 2".to_string()], vec![]));
        let end = rig.value(2, RunEnd::Done(vec![7]));
        let done = without_room(&rig, 4);
        rig.engine.step([end, done]);
        assert_eq!(rig.answers(), [3, 2, 4].map(|id| (id, served(&[7]))));
        assert!(rig.commands().is_empty());
    });
}

#[test]
fn the_engine_keeps_a_key_from_running_twice_or_being_refused_after_its_run() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 1, 0.0);
        rig.engine.step([work]);
        let second = rig.work(2, 1, 0.0);
        rig.engine.handle_input(second);
        let third = rig.work(3, 1, 0.0);
        rig.engine.handle_input(third);
        // Actions that a faulty module could request.
        rig.engine.execute(Action::Run(RequestId(2)));
        rig.engine.execute(Action::Refuse { id: RequestId(3), stay_away: 0.0, last: false });
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.answers(), [(3, Answer::Failed)]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        assert_eq!(rig.answers(), [(2, served(&[7])), (1, served(&[7]))]);
    });
}

#[test]
fn calls_end_with_their_run_and_a_second_call_gives_up_the_first() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([work]);
        let wait = rig.wait(1);
        rig.engine.step([wait]);
        let mut first = rig.calls.try_recv().unwrap();
        assert!(first.give_up_after <= Duration::from_secs(2));
        rig.engine.make_call(RequestId(1), 1.0);
        let mut second = rig.calls.try_recv().unwrap();
        assert!(first.given_up.try_recv() == Err(oneshot::error::TryRecvError::Closed));
        // The end of the first call is ignored.
        let end = |call: &database::Call, outcome| {
            let end = CallEnd { outcome, body: vec![3] };
            Input::CallEnded { id: call.id, number: call.number, end, took: 0.1 }
        };
        rig.engine.step([end(&first, Outcome::Done)]);
        assert!(second.given_up.try_recv() == Err(oneshot::error::TryRecvError::Empty));
        rig.engine.step([end(&second, Outcome::Done)]);
        assert_eq!(rig.commands(), ["apply 1", "resolve 1 [3]"]);
        let wait = rig.wait(1);
        rig.engine.step([wait]);
        let mut third = rig.calls.try_recv().unwrap();
        let stopped = rig.value(1, RunEnd::Stopped);
        rig.engine.step([Input::CallerGone { id: RequestId(1) }, stopped]);
        assert!(third.given_up.try_recv() == Err(oneshot::error::TryRecvError::Closed));
    });
}

#[test]
fn a_run_whose_end_is_never_reported_is_removed() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([work]);
        rig.until(10.0).await;
        assert_eq!(rig.answers().len(), 1);
        assert_eq!(rig.engine.requests.len(), 1);
        rig.until(60.0).await;
        assert!(rig.engine.requests.is_empty() && rig.engine.by_uid.is_empty());
    });
}

#[test]
fn wakes_request_the_gauges_and_are_delivered_without_them_after_the_timeout() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([work]);
        rig.commands();
        rig.engine.step([Input::Woke { token: 0 }]);
        let Ok(Command::Gauges { tag }) = rig.commands.try_recv() else {
            panic!("no request for the gauges")
        };
        assert_eq!(rig.engine.wakes.len(), 1);
        rig.engine.step([Input::Interpreter(Message::Gauges { tag, vouches: 1, readings: vec![Some(1.0)] })]);
        assert!(rig.engine.wakes.is_empty());
        // Without readings the wake is delivered after its timeout.
        rig.until(0.05).await;
        rig.engine.step([Input::Woke { token: 0 }]);
        assert_eq!(rig.engine.wakes.len(), 1);
        rig.until(0.07).await;
        assert!(rig.engine.wakes.is_empty());
        // Without a link no gauges are requested.
        rig.engine.step([Input::LinkDown]);
        while rig.commands.try_recv().is_ok() {}
        rig.engine.step([Input::Woke { token: 0 }]);
        assert!(rig.engine.wakes.is_empty() && rig.commands.try_recv().is_err());
    });
}

#[test]
fn until_the_interpreter_is_up_nothing_is_reported_or_accepted() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        let check = Input::Check { reply: ReplyTo::new(rig.reply_to.clone(), 9) };
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([check, work]);
        assert_eq!(
            rig.answers(),
            [(9, Answer::Health { good: true }), (1, Answer::Refused { stay_away: 1.0, last: false })]
        );
        assert_eq!(*rig.mode.borrow(), None);
        rig.engine.step([Input::Interpreter(Message::Banner { cold: true, age: 1.0 })]);
        assert_eq!(*rig.mode.borrow(), Some(Mode::Open));
        // After an earlier notice to leave, it accepts nothing when the interpreter comes up.
        let mut rig = Rig::before_the_interpreter();
        rig.engine.step([Input::Leave { since: Instant::now() }]);
        rig.engine.step([Input::Interpreter(Message::Banner { cold: true, age: 1.0 })]);
        assert_eq!(*rig.mode.borrow(), Some(Mode::Closed));
    });
}

/// A notice to leave may be queued for long: all requests are answered before the kill, which counts from its
/// arrival.
#[test]
fn a_queued_notice_to_leave_gives_no_more_time() {
    paused(async {
        let mut rig = Rig::new();
        let noticed = Instant::now();
        rig.until(1.0).await;
        let work = rig.work(1, 0, 0.0);
        rig.engine.step([work, Input::Leave { since: noticed }]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(2.7).await;
        assert_eq!(rig.answers(), []);
        rig.until(2.9).await;
        assert_eq!(rig.answers().len(), 1);
    });
}

#[test]
fn the_grace_counts_from_the_notice_though_the_interpreter_comes_up_after_it() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        rig.engine.step([Input::Leave { since: Instant::now() }]);
        rig.until(1.0).await;
        let banner = Message::Banner { cold: true, age: 0.0 };
        rig.engine.step([Input::Interpreter(banner), Input::LinkUp]);
        rig.until(1.5).await;
        let within = rig.work(1, 0, 0.0);
        rig.engine.step([within]);
        assert_eq!(rig.commands(), ["apply 1"]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        rig.until(2.1).await;
        let after = rig.work(2, 0, 0.0);
        rig.engine.step([after]);
        assert!(rig.commands().is_empty(), "it came after the grace and ran");
        assert!(matches!(rig.answers()[..], [(1, Answer::Served(_)), (2, Answer::Refused { .. })]));
    });
}

/// Guards against a peer that gives an arrival time long past: the module would infer a large queueing delay
/// and run nothing for a long while.
#[test]
fn an_invalid_arrival_time_is_rejected() {
    paused(async {
        let mut rig = Rig::new();
        let invalid =
            [rig.work(1, 0, -2.0), rig.work(2, 0, -1e12), rig.work(3, 0, 70.0), rig.work(4, 0, 1e12)];
        rig.engine.step(invalid);
        assert_eq!(rig.answers(), [1, 2, 3, 4].map(|id| (id, Answer::Bad)));
        // A clock slightly ahead and a machine that was paused are accepted.
        let ahead = rig.work(5, 0, -0.5);
        rig.engine.step([ahead]);
        assert_eq!(rig.commands(), ["apply 5"]);
        let past = rig.work(6, 0, 30.0);
        rig.engine.step([past]);
        assert!(matches!(rig.answers()[..], [(6, Answer::Refused { .. })]));
        rig.until(1.5).await;
        let end = rig.value(5, RunEnd::Done(vec![]));
        let next = rig.work(7, 0, 0.0);
        rig.engine.step([end, next]);
        assert_eq!(rig.commands(), ["apply 7"]);
    });
}

/// Guards against operators' orders that wait behind requests: an order is handled before a full queue.
#[test]
fn orders_are_handled_before_a_full_queue_of_requests() {
    paused(async {
        let mut rig = Rig::new();
        let (input, inputs) = mpsc::channel(QUEUE);
        let (orders, to_engine) = mpsc::channel(1);
        for ticket in 0..QUEUE {
            let reply = ReplyTo::new(rig.reply_to.clone(), ticket as u16);
            input.try_send(Input::Check { reply }).unwrap();
        }
        let (done, taken) = oneshot::channel();
        orders.try_send(Order::Lameduck { on: true, done }).unwrap();
        tokio::task::spawn_local(rig.engine.run(inputs, to_engine));
        taken.await.unwrap();
        let (ticket, first) = rig.replies.recv().await.unwrap();
        assert_eq!(
            (ticket, first.answer),
            (0, Answer::Health { good: false }),
            "it was taken before the first check"
        );
    });
}

/// Settings change repeatedly while requests arrive, wait and run: each gets one answer, and the counters are
/// consistent.
#[test]
fn frequent_changes_of_settings_lose_no_request() {
    paused(async {
        let mut rig = Rig::new();
        let mut answered = std::collections::BTreeMap::new();
        for n in 0..200u64 {
            let class = rig.engine.names.class("read").unwrap();
            let work = [2 * n + 1, 2 * n + 2].map(|id| rig.work(id, class, 0.0));
            rig.engine.step(work);
            let text = SETTINGS.replacen("\"deadlineS\":4", &format!("\"deadlineS\":{}", 3 + n % 5), 1);
            let (settings, names) = jaspershunt_settings::read(&text, "settings").unwrap();
            let (done, mut taken) = oneshot::channel();
            rig.engine
                .handle_order(Order::Settings { facts: Rc::new(NamedSettings { settings, names }), done });
            assert_eq!(taken.try_recv(), Ok(Ok(())), "change {n}");
            for command in rig.commands() {
                if let Some(digit) = command.strip_prefix("apply ") {
                    // Every other run ends at once, whatever the present name of its class.
                    let of = |id: &u64| format!("{id:016x}")[15..] == *digit;
                    let open: Vec<u64> = rig.engine.requests.keys().map(|id| id.0).filter(of).collect();
                    for id in open.into_iter().filter(|id| id % 2 == 0) {
                        let end = rig.value(id, RunEnd::Done(vec![1]));
                        rig.engine.step([end]);
                    }
                }
            }
            rig.until(0.05 * (n + 1) as f64).await;
            rig.answers().into_iter().for_each(|(id, _)| *answered.entry(id).or_insert(0) += 1);
        }
        rig.until(30.0).await;
        rig.answers().into_iter().for_each(|(id, _)| *answered.entry(id).or_insert(0) += 1);
        assert_eq!(answered.len(), 400);
        assert!(answered.values().all(|times| *times == 1));
        let counts = rig.engine.channels.desk.counts.borrow();
        assert_eq!((counts.current(), counts.is_consistent(), counts.of_class("read").taken), (0, true, 400));
        assert!(rig.engine.settings.classes.len() < 20, "indices of classes are reused");
    });
}

/// Where the settings exclude notices of callers that leave, only their stated waiting time shows it.
#[test]
fn an_answer_is_due_when_the_caller_of_this_try_leaves() {
    paused(async {
        let mut rig = Rig::new();
        let batch = [
            rig.work_until(1, 0, 0.1, 0.4),
            // Longer than the deadline of the class; the answer is worthless after 2 s all the same.
            rig.work_until(2, 0, 0.0, 500.0),
            // No time left, and negative time.
            rig.work_until(3, 0, 0.2, 0.2),
            rig.work_until(4, 0, 3.0, 1.0),
            rig.work_until(5, 0, 0.0, 0.0),
        ];
        rig.engine.step(batch);
        let mut at_once = rig.answers();
        at_once.sort_by_key(|(id, _)| *id);
        assert_eq!(at_once.iter().map(|(id, _)| *id).collect::<Vec<_>>(), [3, 4, 5]);
        assert!(at_once.iter().all(|(_, answer)| matches!(answer, Answer::Refused { .. })), "{at_once:?}");
        rig.until(0.27).await;
        assert_eq!(rig.answers(), []);
        rig.until(0.3).await;
        assert_eq!(rig.answers().iter().map(|(id, _)| *id).collect::<Vec<_>>(), [1]);
        rig.until(1.97).await;
        assert_eq!(rig.answers(), []);
        rig.until(2.0).await;
        assert_eq!(rig.answers().iter().map(|(id, _)| *id).collect::<Vec<_>>(), [2]);
    });
}

/// Each try of a key has its own caller, which leaves at its own time.
#[test]
fn a_try_that_waits_for_another_run_is_answered_by_its_own_deadline() {
    paused(async {
        let mut rig = Rig::new();
        let first = rig.work_until(1, 1, 0.0, 1.5);
        rig.engine.step([first]);
        assert_eq!(rig.commands(), ["apply 1"]);
        let again = rig.work_until(2, 1, 0.0, 0.5);
        rig.engine.step([again]);
        rig.until(0.47).await;
        assert_eq!(rig.answers(), []);
        rig.until(0.5).await;
        assert_eq!(rig.answers(), [(2, Answer::Failed)]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        assert_eq!(rig.answers(), [(1, served(&[7]))]);
    });
}

/// A run that exceeds the capacity of the cores is paused and resumed later; its key does not count as failed
/// meanwhile.
#[test]
fn a_paused_run_is_resumed_and_its_result_serves_its_key() {
    paused(async {
        let settings = SETTINGS.replace(r#""halt":"drop""#, r#""halt":"pause""#);
        // One core survives two runs; a third one returns from its call.
        let mut rig = Rig::with(&settings.replace(r#""fallMultiple":5"#, r#""fallMultiple":2.5"#));
        let work = |rig: &Rig, id: u64, class| rig.work(id, class, 0.0);
        let first = work(&rig, 1, 1);
        rig.engine.step([first]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.engine.execute(Action::Stop(RequestId(1)));
        assert_eq!(rig.commands(), ["break 1"]);
        // A try that arrives during the pause waits for the result of the run.
        let (stopped, again) = (rig.value(1, RunEnd::Stopped), work(&rig, 2, 1));
        rig.engine.step([stopped, again]);
        assert_eq!(rig.commands(), ["continue 1"]);
        assert_eq!(rig.answers(), []);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        let mut answers = rig.answers();
        answers.sort_by_key(|(id, _)| *id);
        assert_eq!(answers, [(1, served(&[7])), (2, served(&[7]))]);
    });
}

const BELOW: &str = r#"
    dependency "a" {
      addresses = ["127.0.0.1:11"]
      calls = 4
      share = "30%"
      limit { learned = false }
    }
    dependency "b" {
      addresses = ["127.0.0.1:12"]
      calls = 4
      share = "30%"
      limit { learned = false }
    }
    route "read" {
      repeat = "safe"
      call "any" { to = "a" }
    }
    route "sign" {
      repeat = "keyed"
      call "any" { to = "a" }
    }
"#;

/// A route table that sends the calls of "read" to this dependency, with this budget.
fn table(revision: u64, to: &str, budget: u32) -> Snapshot {
    use jaspershunt_routes::{Field, Kind, Table, Thing, Value};
    let call = Value::Call { to: to.into(), calls: budget };
    let things = [
        (Thing::new(Kind::Dependency, to), vec![(Field::Budget, Value::Number(budget))]),
        (Thing::new(Kind::Class, "read"), vec![]),
        (
            Thing::new(Kind::Route, "r1"),
            vec![(Field::Class, Value::Name("read".into())), (Field::Call, call)],
        ),
    ];
    let things = things.into_iter().map(|(thing, fields)| (thing, fields.into_iter().collect())).collect();
    Snapshot::new(revision, false, 0, Table { things })
}

/// A class is refused at its limit and a tenant at its share, others are admitted, and ended requests free
/// capacity. Guards against a table on trial that refuses most requests and is judged by those it admits.
#[test]
fn the_route_table_bounds_requests_of_a_class_and_of_a_tenant() {
    use jaspershunt_routes::{Field, Kind, Table, Thing, Value};
    paused(async {
        let orgs = r#""orgs":[{"name":"uno"},{"name":"dos"}],"domain":{"#;
        let settings = SETTINGS.replacen(r#""domain":{"#, orgs, 1).replace(r#""nCores":1"#, r#""nCores":4"#);
        let mut rig = Rig::with(&settings);
        let table = |revision, limit, share| {
            let things = [
                (Thing::new(Kind::Class, "read"), Field::Limit, limit),
                (Thing::new(Kind::Tenant, "uno"), Field::Share, share),
            ];
            let things =
                things.into_iter().map(|(thing, field, n)| (thing, [(field, Value::Number(n))].into()));
            Snapshot::new(revision, false, 0, Table { things: things.collect() })
        };
        let of = |rig: &Rig, id, class, tenant| match rig.work(id, class, 0.0) {
            Input::Work { id, work, reply } => {
                let key = work.key.map(|_| Key::from(format!("key {}", id.0).as_str()));
                Input::Work { id, work: Work { tenant, key, ..work }, reply }
            }
            other => other,
        };
        rig.engine.step([Input::RouteTable(table(1, 1, 1000).with_trial(Some(1)))]);
        let round = [of(&rig, 1, 0, None), of(&rig, 2, 0, None), of(&rig, 3, 1, None)];
        rig.engine.step(round);
        let refused = |id| (id, Answer::Refused { stay_away: 1.0, last: false });
        assert_eq!(rig.answers(), [refused(2)]);
        let counts = rig.engine.channels.desk.tally.borrow().counts_for(1).map(|(_, counts)| counts);
        assert_eq!(counts.map(|counts| (counts.requests, counts.failed)), Some((1, 1)));
        let value = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([value]);
        let again = of(&rig, 4, 0, None);
        rig.engine.step([again]);
        assert_eq!(rig.answers(), [(1, Answer::Served(vec![7].into()))]);
        // One slot for all classes together, and only for that tenant.
        rig.engine.step([Input::RouteTable(table(2, 9, 1))]);
        let round = [of(&rig, 5, 0, Some(0)), of(&rig, 6, 1, Some(0)), of(&rig, 7, 0, Some(1))];
        rig.engine.step(round);
        assert_eq!(rig.answers(), [refused(6)]);
        assert!(rig.engine.channels.desk.counts.borrow().is_consistent());
    });
}

/// Guards against a refusal of a keyed try whose request runs or ran, because its class is at the table's limit.
#[test]
fn a_try_of_a_key_that_runs_is_not_refused_at_the_limit_of_its_class() {
    use jaspershunt_routes::{Field, Kind, Table, Thing, Value};
    paused(async {
        let mut rig = Rig::new();
        let limit = (Thing::new(Kind::Class, "sign"), [(Field::Limit, Value::Number(1))].into());
        rig.engine.step([Input::RouteTable(Snapshot::new(1, false, 0, Table { things: [limit].into() }))]);
        let first = rig.work(1, 1, 0.0);
        rig.engine.step([first]);
        let other = match rig.work(2, 1, 0.0) {
            Input::Work { id, work, reply } => {
                Input::Work { id, work: Work { key: Some(Key::from("another key")), ..work }, reply }
            }
            other => other,
        };
        let next = rig.work(3, 1, 0.0);
        rig.engine.step([other, next]);
        assert_eq!(rig.answers(), [(2, Answer::Refused { stay_away: 1.0, last: false })]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.step([end]);
        assert_eq!(rig.answers(), [3, 1].map(|id| (id, served(&[7]))));
        assert_eq!(rig.commands(), ["apply 1"]);
    });
}

/// Guards against a table that is judged by requests from before its trial, or reloaded when a trial begins
/// or ends elsewhere.
#[test]
fn requests_that_begin_during_a_trial_are_counted_for_it() {
    paused(async {
        let mut rig = Rig::with(&SETTINGS.replace(r#""nCores":1"#, r#""nCores":4"#));
        rig.engine.step([Input::RouteTable(table(4, "b", 2))]);
        let first = rig.work(1, 0, 0.0);
        rig.engine.step([first]);
        rig.engine.step([Input::RouteTable(table(4, "b", 2).with_trial(Some(5)))]);
        let (second, third) = (rig.work(2, 0, 0.0), rig.work(3, 0, 0.0));
        rig.engine.step([second, third]);
        let ends = [(1, RunEnd::Done(vec![7])), (2, RunEnd::Done(vec![7])), (3, RunEnd::Failed)];
        for (id, end) in ends {
            let value = rig.value(id, end);
            rig.engine.step([value]);
        }
        assert_eq!(rig.answers().len(), 3);
        let counts = rig.engine.channels.desk.tally.borrow().counts_for(5);
        let seen = jaspershunt_routes::trial::Counts { requests: 2, failed: 1, slow: 0 };
        assert_eq!(counts, Some((4, seen)));
    });
}

/// Guards against a request that is routed by two tables.
#[test]
fn a_request_is_routed_by_the_table_that_it_began_with() {
    paused(async {
        let settings = SETTINGS.replace(r#""nCores":1"#, r#""nCores":4"#);
        let text = format!(
            r#"{{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","settings":{settings}}}"#
        );
        let file = |text: &str| jaspershunt_operator::read("t.hcl", text).unwrap();
        let config = crate::config::read(&text, |_| None).unwrap().with_operator(file(BELOW)).unwrap();
        let mut rig = Rig::of(config);
        rig.engine.step([Input::Interpreter(Message::Banner { cold: false, age: 5.0 }), Input::LinkUp]);
        let limits = |rig: &Rig| {
            let status = rig.engine.dependencies.as_ref().unwrap().decisions.status();
            status.into_iter().map(|of| of.limit).collect::<Vec<_>>()
        };
        // Without a table, the file applies.
        let first = rig.work(1, 0, 0.0);
        rig.engine.step([first]);
        rig.engine.step([Input::RouteTable(table(4, "b", 2))]);
        assert_eq!(limits(&rig), [4, 2]);
        let second = rig.work(2, 0, 0.0);
        rig.engine.step([second]);
        rig.engine.step([Input::RouteTable(table(5, "lejos", 7))]);
        // The file applies to what the new table does not contain; a reloaded file does not override the
        // table.
        assert_eq!(limits(&rig), [4, 4]);
        rig.engine.step([Input::RouteTable(table(6, "a", 3))]);
        rig.engine.step([Input::OperatorFile(Rc::new(file(&BELOW.replace("calls = 4", "calls = 8"))))]);
        assert_eq!(limits(&rig), [3, 8]);
        // An older table is ignored.
        rig.engine.step([Input::RouteTable(table(5, "b", 1))]);
        assert_eq!(limits(&rig), [3, 8]);
        let third = rig.work(3, 0, 0.0);
        rig.engine.step([third]);
        let mut ports = Vec::new();
        for id in 1..=3 {
            let wait = rig.wait(id);
            rig.engine.step([wait]);
            let call = rig.calls.try_recv().expect("a call");
            ports.push((call.id.0, call.to.expect("one of several").address.port()));
        }
        assert_eq!(ports, [(1, 11), (2, 12), (3, 11)]);
    });
}

mod reload;
