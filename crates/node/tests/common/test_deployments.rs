//! Made-up deployments. Some names occur in several of them, each time with another effect or deadline.

use jaspershunt_stand_ins::balancer::{Answer, Request};

/// Upper bound of short deadlines. All others are far longer, so that a busy machine can't confuse the two.
/// Short ones are at least 0.7 s: a class whose runs take about its deadline is refused as hopeless.
const MAX_SHORT_DEADLINE_MS: u64 = 2_000;

pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub deadline_ms: u64,
    pub window_s: u32,
}

const fn class(name: &'static str, effect: &'static str, deadline_ms: u64, window_s: u32) -> Class {
    Class { name, effect, deadline_ms, window_s }
}

impl Class {
    pub fn is_short(&self) -> bool {
        self.deadline_ms < MAX_SHORT_DEADLINE_MS
    }
}

/// The kind of advice that a deployment sends to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Advice {
    Tokens,
    MinRank,
    Bias,
    Silent,
}

pub struct Deployment {
    pub name: &'static str,
    pub classes: &'static [Class],
    pub tenants: &'static [&'static str],
    pub advice: Advice,
    pub halt: &'static str,
    pub passes_deadline: bool,
    pub readiness: bool,
    pub retry_after: bool,
    /// The longest retry advice in milliseconds: a distinct prime, also where no advice may be given.
    pub max_retry_after_ms: u64,
    pub cores: u32,
    pub heap_kb: u32,
    pub meters: &'static str,
    pub grace_s: f64,
}

pub const DEPLOYMENTS: [Deployment; 5] = [
    Deployment {
        name: "harbour",
        classes: &[class("pay", "guarded", 31_019, 4_001), class("view", "free", 701, 4_003)],
        tenants: &["north", "south"],
        advice: Advice::Tokens,
        halt: "drop",
        passes_deadline: false,
        readiness: true,
        retry_after: true,
        max_retry_after_ms: 211,
        cores: 11,
        heap_kb: 100_003,
        meters: r#"["core_use","on_cores"]"#,
        grace_s: 0.13,
    },
    Deployment {
        name: "clinic",
        classes: &[class("pay", "free", 907, 4_007), class("intake", "single_shot", 37_013, 4_013)],
        tenants: &[],
        advice: Advice::MinRank,
        halt: "pause",
        passes_deadline: false,
        readiness: false,
        retry_after: false,
        max_retry_after_ms: 223,
        cores: 13,
        heap_kb: 200_003,
        meters: r#"["on_cores","heap_share","core_use"]"#,
        grace_s: 0.17,
    },
    Deployment {
        name: "mill",
        classes: &[
            class("pay", "single_shot", 29_009, 4_019),
            class("view", "guarded", 43_003, 4_021),
            class("grind", "free", 809, 4_027),
            class("dye", "free", 33_013, 4_049),
            class("ship", "guarded", 41_011, 4_051),
        ],
        tenants: &["east", "west", "south", "inland", "coast"],
        advice: Advice::Bias,
        halt: "drop",
        passes_deadline: true,
        readiness: true,
        retry_after: true,
        max_retry_after_ms: 307,
        cores: 17,
        heap_kb: 300_007,
        meters: r#"["links","heap_share","on_cores","core_use"]"#,
        grace_s: 0.19,
    },
    Deployment {
        name: "archive",
        classes: &[class("view", "free", 47_017, 4_057)],
        tenants: &["north"],
        advice: Advice::Silent,
        halt: "silent",
        passes_deadline: true,
        readiness: false,
        retry_after: true,
        max_retry_after_ms: 401,
        cores: 19,
        heap_kb: 400_009,
        meters: "[]",
        grace_s: 0.23,
    },
    Deployment {
        name: "school",
        classes: &[
            class("lesson", "free", 53_003, 4_073),
            class("view", "single_shot", 1_009, 4_079),
            class("pay", "guarded", 1_103, 4_091),
        ],
        tenants: &[],
        advice: Advice::Tokens,
        halt: "drop",
        passes_deadline: false,
        readiness: true,
        retry_after: false,
        max_retry_after_ms: 503,
        cores: 23,
        heap_kb: 500_009,
        meters: r#"["brightness","on_cores"]"#,
        grace_s: 0.29,
    },
];

impl Deployment {
    pub fn settings(&self) -> String {
        let classes = self.classes.iter().map(|class| {
            let (deadline, aim) = (class.deadline_ms as f64 / 1e3, class.deadline_ms as f64 / 2e3);
            format!(
                r#"{{"name":"{}","worth":1,"targetS":{aim},"deadlineS":{deadline},"semantics":"{}","windowS":{}}}"#,
                class.name, class.effect, class.window_s
            )
        });
        let tenant = |name: &&str| format!(r#"{{"name":"{name}","share":1,"allowancePerS":1000}}"#);
        let say = match self.advice {
            Advice::Tokens => "tokens",
            Advice::MinRank => "min_rank",
            Advice::Bias => "bias",
            Advice::Silent => "silent",
        };
        let classes = classes.collect::<Vec<_>>().join(",");
        let tenants = self.tenants.iter().map(tenant).collect::<Vec<_>>().join(",");
        format!(
            r#"{{"classes":[{classes}],"orgs":[{tenants}],"domain":{{"nCores":{},"heapKb":{},"runFactor":4,"halt":"{}","say":"{say}","meters":{},"passesDeadline":{},"readiness":{},"dependsOn":"common","fairCalls":100,"callsOverS":5}},"allowed":{{"retryAfter":{},"maxRetryAfterS":{}}},"obligations":{{"coldFrom":0.3,"coldS":9,"fallMultiple":20,"fallS":2,"drainGraceS":{}}}}}"#,
            self.cores,
            self.heap_kb,
            self.halt,
            self.meters,
            self.passes_deadline,
            self.readiness,
            self.retry_after,
            self.max_retry_after_ms as f64 / 1e3,
            self.grace_s,
        )
    }

    pub fn class(&self, name: &str) -> Option<&'static Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Creates a request of one of its tenants or, if it has none, of another deployment's tenant.
    pub fn request(&self, class: &str, body: &str) -> Request {
        let tenant = self.tenants.first().unwrap_or(&"coast").to_string();
        let key = Some(format!("key of {body}"));
        Request { tenant, key, ..Request::new(class, body.as_bytes()) }
    }

    /// Checks the form of the advice. Tokens are at least 1, the minimum rank is below 1, and a bias is at
    /// most 1 and here never 0.
    pub fn has_valid_advice(&self, answer: &Answer) -> bool {
        let header = answer.header("x-backend-says").map(|text| text.parse::<f64>().unwrap());
        match (self.advice, header) {
            (Advice::Silent, header) => header.is_none(),
            (Advice::Tokens, Some(tokens)) => tokens >= 1.0,
            // Nothing is sent while the rank has always been 0.
            (Advice::MinRank, rank) => (0.0..1.0).contains(&rank.unwrap_or(0.0)),
            (Advice::Bias, Some(bias)) => bias > 0.0 && bias <= 1.0,
            (_, None) => false,
        }
    }
}
