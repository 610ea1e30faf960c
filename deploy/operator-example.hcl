# An operator's file that shows what can be set. Values are the defaults unless a comment gives another;
# `jaspershunt explain FILE` prints any file with all defaults filled in.
#
# Durations ("250ms", "2s", "5m", "1h") and sizes ("512B", "64KiB", "2MiB") need a unit; shares are written "25%", rates
# "200/s".
# A nodo reads this file only if it is started with `serve --operator FILE`, and rereads it on SIGHUP.

# A dependency of the nodo. Answers that were made without it contain its name.
dependency "registro" {
  addresses   = ["127.0.0.1:5441", "127.0.0.1:5442"] # required; if one is unreachable, the next one is used
  calls       = 24       # maximum in-flight calls; abandoned calls count until they must have ended (default 16)
  waiting     = 16       # maximum queued calls
  wait        = "250ms"  # maximum time that a call is queued
  bytes       = "256KiB" # maximum bytes of the bodies of queued and in-flight calls
  rate        = "400/s"  # maximum calls started per second (default: unlimited)
  connections = 24       # maximum open connections, idle ones included (default 16)
  share       = "40%"    # of the nodo's parked runs and their memory, for runs waiting for this dependency (default 25%)
  linger      = "200ms"  # how long an abandoned call may continue in the dependency
  timeout     = "2s"     # of one attempt; shorter if its request has less time left
  guests      = "25%"    # of the current limit, for calls that fall back from other dependencies

  limit {
    learned = true # adapt the limit on in-flight calls, up to `calls`; if false, the limit is `calls`
    start   = 4    # the initial limit
    least   = 1    # the minimum limit
  }

  breaker {
    window     = "5s"  # the sliding window over which calls are evaluated
    failures   = "50%" # share of failed calls at which the breaker opens
    slow       = "1s"  # duration above which a call counts as slow
    slow_calls = "80%" # share of slow or failed calls at which it opens too
    least      = 10    # minimum calls in the window for the breaker to open
    wait       = "500ms" # how long it stays open; doubles each further time, with up to 25% of jitter either way
    longest    = "2s"  # the longest time that it stays open
    probes     = 2     # in-flight calls while half open; as many must succeed to close it
  }
}

dependency "padron" {
  addresses = ["127.0.0.1:5443"]
  fall_back = "padron-copia" # used for calls that this one has no capacity for or failed; must not form a cycle
}

dependency "padron-copia" {
  addresses = ["127.0.0.1:5444"]
  share     = "10%"
}

# The routes of the calls of a class, by their position in the run, from "1"; "any" applies to all others.
route "consulta-estado" {
  repeat  = "safe" # safe, keyed or unsafe; must match the platform's settings
  without = true   # may be answered without a failed call; X-Answer-Lacks then names what is missing (default false)

  call "1" {
    to   = "padron"
    kept = "30s" # maximum age of a cached reply to the same call; X-Answer-Stale-Ms then states its age (default: none)
  }
  call "any" {
    to        = "registro"
    elsewhere = true # may use the fallbacks of the dependency
  }
}

route "verificar-firma" {
  repeat = "safe"
  call "any" { to = "padron" }
}

# Keyed and unsafe classes must not set `without` or `kept`.
route "registrar-firma" {
  repeat = "keyed"
  call "any" { to = "registro" }
}

# The budget for attempts after the first, over all dependencies.
retries {
  share    = "10%" # retries earned by each first attempt
  saved    = 10    # maximum unused retries that are saved
  attempts = 3     # maximum for one call
}

# The cache of replies used as a fallback.
kept {
  bytes = "1MiB"
}

# Captures of the decisions, for later analysis; disabled without this block.
capture {
  folder   = "/var/lib/jaspershunt/captures" # required
  ring     = "1MiB"  # memory for the latest decisions; written on SIGUSR1, a prevented rule violation or a jump of refusals
  all      = false   # write all decisions, not only on these triggers
  files    = 8       # maximum files; the oldest are removed
  snapshot = "10s"   # interval between snapshots of the decision state; a replay can start at each
  refusals = "50%"   # a jump: this share of a second's requests, if it is also twice the share before
}

# The following blocks configure several nodos as one fleet and have no effect without this one. The voters must be the
# same in every member's file.
fleet {
  name   = "corrientes"                 # required
  folder = "/var/lib/jaspershunt/fleet" # required: this member's persistent data
  region = "norte"    # the region of this nodo, for route tables and steering (default: none)
  ttl    = "10s"      # the duration of a lease
  drift  = "5%"       # the maximum rate error of a clock
  trial  = "none"     # default: all nodos get a new route table at once; "tenth", "quarter", "half": this share gets it first
  links  = 64         # maximum connections from other members, if this nodo is a voter
  voter "n0" { address = "127.0.0.1:5460" }
  voter "n1" { address = "127.0.0.1:5461" }
  voter "n2" { address = "127.0.0.1:5462" }
}

# A keyed class whose in-flight work another nodo takes over when its own is lost. `effect` is how the outcome of started
# work is determined: "asks" (the resource reports it by key), "fenced" (the resource rejects lower tokens), "unknown"
# (not at all; the work is never run again).
handover "registrar-firma" {
  effect   = "asks"           # required
  resource = "127.0.0.1:5471" # required with "asks", not allowed otherwise
  path     = "/operaciones"   # the path of queries to it (default "/")
  timeout  = "2s"             # of one query
  full     = "refuse"         # if the replicated state has no room: "refuse", or "run" without takeover
}

# A team that edits the fleet's route table. Other teams need its approval to edit what it owns.
team "firmas" {
  owns    = ["class/registrar-firma", "dependency/registro"]
  cut_off = "hold" # default: while cut off from the fleet, edits are stored on disk and sent later; "refuse": they are refused
}

# Steering of clients to the region with the lowest delay, as edges measure it; disabled without this block.
steering {
  capacity = "200/s"    # required: the nodo's capacity for planning, in requests per second
  every    = "10s"      # interval at which this nodo sends its measurements
  by       = "balancer" # how clients are grouped: "balancer", "address", or "field" with field = "X-Org"
  delays   = "kernel"   # "gaps" if an intermediary terminates connections: the time from an answer to the next request
}

# Records this nodo's requests to the fleet and their results, for checkers of a test; not for production.
history {
  folder = "/var/lib/jaspershunt/histories" # required
  bytes  = "16MiB" # maximum of a file, one per incarnation; when it is reached, the file records that it is full
}
