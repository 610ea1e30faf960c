//! The engine with the test in the place of every other task, on a clock that stands until all is done.

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
        let mut rig = Rig::told(settings);
        let banner = Message::Banner { cold: false, age: 5.0 };
        rig.engine.round([Input::Heard(banner), Input::LinkUp]);
        rig
    }

    pub(super) fn before_the_interpreter() -> Rig {
        Rig::told(SETTINGS)
    }

    fn told(settings: &str) -> Rig {
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
        let (idle, owed) = (watch::channel(Idle::default()).0, watch::channel(0).0);
        let (reply_to, replies) = mpsc::channel(100);
        let ways = Ways {
            engine: input.downgrade(),
            interpreter,
            database,
            directory,
            idle,
            owed,
            desk: Rc::default(),
            facts: watch::channel(Rc::new(config.facts())).0,
        };
        let engine = Engine::new(&config, Clock::runtime(UNIX), ways);
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
            waits: None,
            resent: false,
            cost_hint: None,
            held_kb: 10.0,
            rank: 0.5,
            key: (class == 1).then(|| Key::from("one key")),
            body: vec![1],
        };
        Input::Work { id: RequestId(id), work, reply: ReplyTo::new(self.reply_to.clone(), id as u16) }
    }

    /// The same from a caller that says how long it waits, counted from when the request came to the machine.
    fn work_until(&self, id: u64, class: usize, waited: f64, waits: f64) -> Input {
        match self.work(id, class, waited) {
            Input::Work { id, work, reply } => {
                Input::Work { id, work: Work { waits: Some(waits), ..work }, reply }
            }
            other => other,
        }
    }

    pub(super) fn value(&mut self, id: u64, end: RunEnd) -> Input {
        self.pos += 1;
        Input::Heard(Message::Value { pos: self.pos, uid: format!("{id:016x}").into(), end })
    }

    pub(super) fn wait(&mut self, id: u64) -> Input {
        self.pos += 1;
        Input::Heard(Message::Await { pos: self.pos, uid: format!("{id:016x}").into(), content: vec![2] })
    }

    /// Lets so much time pass since the start, with all timers that come due.
    pub(super) async fn until(&mut self, seconds: f64) {
        let end = self.began + Duration::from_secs_f64(seconds);
        while let Ok(Some(input)) = timeout_at(end, self.inputs.recv()).await {
            self.engine.round([input]);
        }
    }

    /// The commands since the last look, without questions for the gauges.
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

/// Runs a test on a clock that only moves when nothing else is left to do.
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
        rig.engine.round([work]);
        assert_eq!(rig.commands(), ["apply 1"]);
        // The wait counts from when it came to the machine: its 2 s end at 1.5 s, and the answer is given just ahead.
        rig.until(1.47).await;
        assert_eq!(rig.answers(), []);
        rig.until(1.5).await;
        assert_eq!(rig.answers(), [(1, Answer::Failed)]);
        assert_eq!(rig.commands(), ["break 1"]);
        // The result crosses the order to stop.
        let end = rig.value(1, RunEnd::Done(vec![7]));
        let again = rig.work(2, 1, 0.0);
        rig.engine.round([end, again]);
        assert_eq!(rig.answers(), [(2, served(&[7]))]);
        assert!(rig.commands().is_empty());
    });
}

#[test]
fn a_key_whose_run_came_to_nothing_neither_runs_again_nor_is_turned_away() {
    paused(async {
        for end in [RunEnd::Failed, RunEnd::Stopped, RunEnd::NotStarted] {
            let mut rig = Rig::new();
            let work = rig.work(1, 1, 0.0);
            rig.engine.round([work]);
            let end = rig.value(1, end);
            rig.engine.round([end]);
            assert_eq!(rig.answers(), [(1, Answer::Failed)]);
            rig.until(59.0).await;
            let again = rig.work(2, 1, 0.0);
            rig.engine.round([again]);
            assert_eq!(rig.answers(), [(2, Answer::Failed)]);
            assert_eq!(rig.commands(), ["apply 1"]);
            // After the window it is a request like any other.
            rig.until(60.2).await;
            let late = rig.work(3, 1, 0.0);
            rig.engine.round([late]);
            assert_eq!(rig.commands(), ["apply 3"]);
        }
    });
}

/// Strangers name keys that they have seen: with another body they are served nothing, and a run that the interpreter
/// knows nothing of does not use the key up.
#[test]
fn a_key_is_of_no_use_with_another_body() {
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
        rig.engine.round([first]);
        let rejected = Message::Rejected { command: "APPLY".into(), uid: format!("{:016x}", 1).into() };
        rig.engine.round([Input::Heard(rejected)]);
        let work = rig.work(2, 1, 0.0);
        rig.engine.round([work]);
        let during = stranger(&rig, 3);
        rig.engine.round([during]);
        let end = rig.value(2, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
        let after = stranger(&rig, 4);
        rig.engine.round([after]);
        assert_eq!(rig.commands(), ["apply 1", "apply 2"]);
        let bad = |id| (id, Answer::Bad);
        assert_eq!(rig.answers(), [(1, Answer::Failed), bad(3), (2, served(&[7])), bad(4)]);
    });
}

#[test]
fn tries_of_one_key_in_one_step_know_each_other() {
    paused(async {
        let mut rig = Rig::new();
        let tries = [rig.work(1, 1, 0.0), rig.work(2, 1, 0.0)];
        rig.engine.round(tries);
        assert_eq!(rig.commands(), ["apply 2"]);
        assert_eq!(rig.answers(), [(1, Answer::Refused { stay_away: 0.0, last: true })]);
    });
}

#[test]
fn the_nodo_itself_keeps_a_key_from_running_twice_or_being_turned_away_after_its_run() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 1, 0.0);
        rig.engine.round([work]);
        let second = rig.work(2, 1, 0.0);
        rig.engine.take(second);
        let third = rig.work(3, 1, 0.0);
        rig.engine.take(third);
        // Whatever a module might ask for.
        rig.engine.carry_out(Action::Run(RequestId(2)));
        rig.engine.carry_out(Action::Refuse { id: RequestId(3), stay_away: 0.0, last: false });
        assert_eq!(rig.commands(), ["apply 1"]);
        assert_eq!(rig.answers(), [(3, Answer::Failed)]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
        assert_eq!(rig.answers(), [(2, served(&[7])), (1, served(&[7]))]);
    });
}

#[test]
fn calls_end_with_their_run_and_a_second_call_gives_up_the_first() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([work]);
        let wait = rig.wait(1);
        rig.engine.round([wait]);
        let mut first = rig.calls.try_recv().unwrap();
        assert!(first.give_up_after <= Duration::from_secs(2));
        rig.engine.make_call(RequestId(1), 1.0);
        let mut second = rig.calls.try_recv().unwrap();
        assert!(first.given_up.try_recv() == Err(oneshot::error::TryRecvError::Closed));
        // What the first one still says counts for nothing.
        let end = |call: &database::Call, outcome| {
            let end = CallEnd { outcome, body: vec![3] };
            Input::CallEnded { id: call.id, number: call.number, end, took: 0.1 }
        };
        rig.engine.round([end(&first, Outcome::Done)]);
        assert!(second.given_up.try_recv() == Err(oneshot::error::TryRecvError::Empty));
        rig.engine.round([end(&second, Outcome::Done)]);
        assert_eq!(rig.commands(), ["apply 1", "resolve 1 [3]"]);
        let wait = rig.wait(1);
        rig.engine.round([wait]);
        let mut third = rig.calls.try_recv().unwrap();
        let stopped = rig.value(1, RunEnd::Stopped);
        rig.engine.round([Input::Gone { id: RequestId(1) }, stopped]);
        assert!(third.given_up.try_recv() == Err(oneshot::error::TryRecvError::Closed));
    });
}

#[test]
fn a_run_whose_end_is_never_heard_of_is_let_go() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([work]);
        rig.until(10.0).await;
        assert_eq!(rig.answers().len(), 1);
        assert_eq!(rig.engine.requests.len(), 1);
        rig.until(60.0).await;
        assert!(rig.engine.requests.is_empty() && rig.engine.by_uid.is_empty());
    });
}

#[test]
fn wakes_ask_for_the_gauges_and_go_without_where_none_come() {
    paused(async {
        let mut rig = Rig::new();
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([work]);
        rig.commands();
        rig.engine.round([Input::Woke { token: 0 }]);
        let Ok(Command::Gauges { tag }) = rig.commands.try_recv() else { panic!("no question") };
        assert_eq!(rig.engine.wakes.len(), 1);
        rig.engine.round([Input::Heard(Message::Gauges { tag, vouches: 1, readings: vec![Some(1.0)] })]);
        assert!(rig.engine.wakes.is_empty());
        // No answer: the wake waits no longer than it may.
        rig.until(0.05).await;
        rig.engine.round([Input::Woke { token: 0 }]);
        assert_eq!(rig.engine.wakes.len(), 1);
        rig.until(0.07).await;
        assert!(rig.engine.wakes.is_empty());
        // No link: nobody is asked.
        rig.engine.round([Input::LinkDown]);
        while rig.commands.try_recv().is_ok() {}
        rig.engine.round([Input::Woke { token: 0 }]);
        assert!(rig.engine.wakes.is_empty() && rig.commands.try_recv().is_err());
    });
}

#[test]
fn until_the_interpreter_is_up_nothing_is_reported_and_nothing_taken() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        let check = Input::Check { reply: ReplyTo::new(rig.reply_to.clone(), 9) };
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([check, work]);
        assert_eq!(
            rig.answers(),
            [(9, Answer::Health { good: true }), (1, Answer::Refused { stay_away: 1.0, last: false })]
        );
        assert_eq!(*rig.mode.borrow(), None);
        rig.engine.round([Input::Heard(Message::Banner { cold: true, age: 1.0 })]);
        assert_eq!(*rig.mode.borrow(), Some(Mode::Open));
        // Told to leave before that, it takes nothing when the interpreter comes up.
        let mut rig = Rig::before_the_interpreter();
        rig.engine.round([Input::Leave { told: Instant::now() }]);
        rig.engine.round([Input::Heard(Message::Banner { cold: true, age: 1.0 })]);
        assert_eq!(*rig.mode.borrow(), Some(Mode::Closed));
    });
}

/// A notice to leave may wait behind much else: all is answered before the kill, which counts from when it came.
#[test]
fn a_notice_to_leave_that_waited_gives_no_more_time() {
    paused(async {
        let mut rig = Rig::new();
        let told = Instant::now();
        rig.until(1.0).await;
        let work = rig.work(1, 0, 0.0);
        rig.engine.round([work, Input::Leave { told }]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.until(2.7).await;
        assert_eq!(rig.answers(), []);
        rig.until(2.9).await;
        assert_eq!(rig.answers().len(), 1);
    });
}

/// A peer that names a time long past must not make the module believe that requests lie unread for ages, for which it
/// would run nothing for a long while.
#[test]
fn the_grace_counts_from_the_notice_though_the_interpreter_comes_up_after_it() {
    paused(async {
        let mut rig = Rig::before_the_interpreter();
        rig.engine.round([Input::Leave { told: Instant::now() }]);
        rig.until(1.0).await;
        let banner = Message::Banner { cold: true, age: 0.0 };
        rig.engine.round([Input::Heard(banner), Input::LinkUp]);
        rig.until(1.5).await;
        let within = rig.work(1, 0, 0.0);
        rig.engine.round([within]);
        assert_eq!(rig.commands(), ["apply 1"]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
        rig.until(2.1).await;
        let after = rig.work(2, 0, 0.0);
        rig.engine.round([after]);
        assert!(rig.commands().is_empty(), "it came after the grace and ran");
        assert!(matches!(rig.answers()[..], [(1, Answer::Served(_)), (2, Answer::Refused { .. })]));
    });
}

#[test]
fn a_time_of_arrival_that_makes_no_sense_does_no_harm() {
    paused(async {
        let mut rig = Rig::new();
        let strange =
            [rig.work(1, 0, -2.0), rig.work(2, 0, -1e12), rig.work(3, 0, 70.0), rig.work(4, 0, 1e12)];
        rig.engine.round(strange);
        assert_eq!(rig.answers(), [1, 2, 3, 4].map(|id| (id, Answer::Bad)));
        // A clock a little ahead, and a machine that stood for a while, are no fault of the balancer.
        let ahead = rig.work(5, 0, -0.5);
        rig.engine.round([ahead]);
        assert_eq!(rig.commands(), ["apply 5"]);
        let past = rig.work(6, 0, 30.0);
        rig.engine.round([past]);
        assert!(matches!(rig.answers()[..], [(6, Answer::Refused { .. })]));
        rig.until(1.5).await;
        let end = rig.value(5, RunEnd::Done(vec![]));
        let next = rig.work(7, 0, 0.0);
        rig.engine.round([end, next]);
        assert_eq!(rig.commands(), ["apply 7"]);
    });
}

/// Guards against operators who wait behind requests: an order is obeyed before anything of a full queue is taken.
#[test]
fn operators_are_heard_before_a_full_queue_of_requests() {
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

/// Settings change again and again while requests come, wait and run: each gets one answer, and the figures agree.
#[test]
fn settings_that_change_in_a_storm_lose_no_request() {
    paused(async {
        let mut rig = Rig::new();
        let mut answered = std::collections::BTreeMap::new();
        for n in 0..200u64 {
            let class = rig.engine.names.class("read").unwrap();
            let work = [2 * n + 1, 2 * n + 2].map(|id| rig.work(id, class, 0.0));
            rig.engine.round(work);
            let text = SETTINGS.replacen("\"deadlineS\":4", &format!("\"deadlineS\":{}", 3 + n % 5), 1);
            let (settings, names) = jaspershunt_settings::read(&text, "settings").unwrap();
            let (done, mut taken) = oneshot::channel();
            rig.engine.obey(Order::Settings { facts: Rc::new(NamedSettings { settings, names }), done });
            assert_eq!(taken.try_recv(), Ok(Ok(())), "change {n}");
            for command in rig.commands() {
                if let Some(digit) = command.strip_prefix("apply ") {
                    // Every other run ends at once, whatever its class is called now.
                    let of = |id: &u64| format!("{id:016x}")[15..] == *digit;
                    let open: Vec<u64> = rig.engine.requests.keys().map(|id| id.0).filter(of).collect();
                    for id in open.into_iter().filter(|id| id % 2 == 0) {
                        let end = rig.value(id, RunEnd::Done(vec![1]));
                        rig.engine.round([end]);
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
        let counts = rig.engine.ways.desk.counts.borrow();
        assert_eq!((counts.current(), counts.agree(), counts.of("read").taken), (0, true, 400));
        assert!(rig.engine.settings.classes.len() < 20, "places are used again");
    });
}

/// No notice comes of callers that leave, where the settings have it so: all that tells is how long they said to wait.
#[test]
fn an_answer_is_due_when_the_caller_of_this_try_leaves() {
    paused(async {
        let mut rig = Rig::new();
        let batch = [
            rig.work_until(1, 0, 0.1, 0.4),
            // Longer than anybody waits for this class; the worth of an answer ends after 2 s all the same.
            rig.work_until(2, 0, 0.0, 500.0),
            // No time left, and less than none.
            rig.work_until(3, 0, 0.2, 0.2),
            rig.work_until(4, 0, 3.0, 1.0),
            rig.work_until(5, 0, 0.0, 0.0),
        ];
        rig.engine.round(batch);
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

/// Tries of one key each have their own caller, who leaves at its own time.
#[test]
fn a_try_that_waits_for_another_ones_run_is_answered_in_its_own_time() {
    paused(async {
        let mut rig = Rig::new();
        let first = rig.work_until(1, 1, 0.0, 1.5);
        rig.engine.round([first]);
        assert_eq!(rig.commands(), ["apply 1"]);
        let again = rig.work_until(2, 1, 0.0, 0.5);
        rig.engine.round([again]);
        rig.until(0.47).await;
        assert_eq!(rig.answers(), []);
        rig.until(0.5).await;
        assert_eq!(rig.answers(), [(2, Answer::Failed)]);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
        assert_eq!(rig.answers(), [(1, served(&[7]))]);
    });
}

/// What the cores cannot bear is paused, and goes on later; the run of a key is none that failed meanwhile.
#[test]
fn a_paused_run_is_told_to_go_on_and_its_result_serves_its_key() {
    paused(async {
        let settings = SETTINGS.replace(r#""halt":"drop""#, r#""halt":"pause""#);
        // Two on one core are what it survives; a third one comes back from its call.
        let mut rig = Rig::with(&settings.replace(r#""fallMultiple":5"#, r#""fallMultiple":2.5"#));
        let work = |rig: &Rig, id: u64, class| rig.work(id, class, 0.0);
        let first = work(&rig, 1, 1);
        rig.engine.round([first]);
        assert_eq!(rig.commands(), ["apply 1"]);
        rig.engine.carry_out(Action::Stop(RequestId(1)));
        assert_eq!(rig.commands(), ["break 1"]);
        // A try that comes during the pause waits for what the run makes.
        let (stopped, again) = (rig.value(1, RunEnd::Stopped), work(&rig, 2, 1));
        rig.engine.round([stopped, again]);
        assert_eq!(rig.commands(), ["continue 1"]);
        assert_eq!(rig.answers(), []);
        let end = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([end]);
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

/// Sends the calls of "read" there, of which the fleet has so many for it.
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

/// A class is full at its limit and a tenant at its share, others go on, and what ends makes room. Guards against a table on trial that
/// turns all away and is judged by what it let in.
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
        rig.engine.round([Input::Table(table(1, 1, 1000).with_trial(Some(1)))]);
        let round = [of(&rig, 1, 0, None), of(&rig, 2, 0, None), of(&rig, 3, 1, None)];
        rig.engine.round(round);
        let refused = |id| (id, Answer::Refused { stay_away: 1.0, last: false });
        assert_eq!(rig.answers(), [refused(2)]);
        let counts = rig.engine.ways.desk.tally.borrow().counts_for(1).map(|(_, counts)| counts);
        assert_eq!(counts.map(|counts| (counts.requests, counts.failed)), Some((1, 1)));
        let value = rig.value(1, RunEnd::Done(vec![7]));
        rig.engine.round([value]);
        let again = of(&rig, 4, 0, None);
        rig.engine.round([again]);
        assert_eq!(rig.answers(), [(1, Answer::Served(vec![7].into()))]);
        // One place of so many, whichever the class, and only for that tenant.
        rig.engine.round([Input::Table(table(2, 9, 1))]);
        let round = [of(&rig, 5, 0, Some(0)), of(&rig, 6, 1, Some(0)), of(&rig, 7, 0, Some(1))];
        rig.engine.round(round);
        assert_eq!(rig.answers(), [refused(6)]);
        assert!(rig.engine.ways.desk.counts.borrow().agree());
    });
}

/// Guards against a table that is judged by what began before its trial, or that is loaded anew when the trial begins or ends elsewhere.
#[test]
fn requests_that_begin_during_a_trial_are_counted_for_it() {
    paused(async {
        let mut rig = Rig::with(&SETTINGS.replace(r#""nCores":1"#, r#""nCores":4"#));
        rig.engine.round([Input::Table(table(4, "b", 2))]);
        let first = rig.work(1, 0, 0.0);
        rig.engine.round([first]);
        rig.engine.round([Input::Table(table(4, "b", 2).with_trial(Some(5)))]);
        let (second, third) = (rig.work(2, 0, 0.0), rig.work(3, 0, 0.0));
        rig.engine.round([second, third]);
        let ends = [(1, RunEnd::Done(vec![7])), (2, RunEnd::Done(vec![7])), (3, RunEnd::Failed)];
        for (id, end) in ends {
            let value = rig.value(id, end);
            rig.engine.round([value]);
        }
        assert_eq!(rig.answers().len(), 3);
        let counts = rig.engine.ways.desk.tally.borrow().counts_for(5);
        let seen = jaspershunt_routes::trial::Counts { requests: 2, failed: 1, slow: 0 };
        assert_eq!(counts, Some((4, seen)));
    });
}

/// Guards against a request that sees two tables.
#[test]
fn a_request_goes_by_the_route_table_that_it_began_with() {
    paused(async {
        let settings = SETTINGS.replace(r#""nCores":1"#, r#""nCores":4"#);
        let text = format!(
            r#"{{"name":"n","listen":"127.0.0.1:1","vm":"127.0.0.1:2","lookup":"127.0.0.1:3","db":"127.0.0.1:4","settings":{settings}}}"#
        );
        let file = |text: &str| jaspershunt_operator::read("t.hcl", text).unwrap();
        let config = crate::config::read(&text, |_| None).unwrap().with_operator(file(BELOW)).unwrap();
        let mut rig = Rig::of(config);
        rig.engine.round([Input::Heard(Message::Banner { cold: false, age: 5.0 }), Input::LinkUp]);
        let limits = |rig: &Rig| {
            let status = rig.engine.several.as_ref().unwrap().decisions.status();
            status.into_iter().map(|of| of.limit).collect::<Vec<_>>()
        };
        // Before there is a table, as the file says.
        let first = rig.work(1, 0, 0.0);
        rig.engine.round([first]);
        rig.engine.round([Input::Table(table(4, "b", 2))]);
        assert_eq!(limits(&rig), [4, 2]);
        let second = rig.work(2, 0, 0.0);
        rig.engine.round([second]);
        rig.engine.round([Input::Table(table(5, "lejos", 7))]);
        // What the new one is silent on is as in the file again; a file that is read again stands below the table.
        assert_eq!(limits(&rig), [4, 4]);
        rig.engine.round([Input::Table(table(6, "a", 3))]);
        rig.engine.round([Input::Operator(Rc::new(file(&BELOW.replace("calls = 4", "calls = 8"))))]);
        assert_eq!(limits(&rig), [3, 8]);
        // An older table is not gone back to.
        rig.engine.round([Input::Table(table(5, "b", 1))]);
        assert_eq!(limits(&rig), [3, 8]);
        let third = rig.work(3, 0, 0.0);
        rig.engine.round([third]);
        let mut ports = Vec::new();
        for id in 1..=3 {
            let wait = rig.wait(id);
            rig.engine.round([wait]);
            let call = rig.calls.try_recv().expect("a call");
            ports.push((call.id.0, call.to.expect("one of several").address.port()));
        }
        assert_eq!(ports, [(1, 11), (2, 12), (3, 11)]);
    });
}

mod reload;
