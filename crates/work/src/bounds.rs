//! Limits of in-flight work. The whole part takes at most [`MAX_BYTES`], beside its index.

/// Items in all stages: ten per nodo at 300 nodos, and as many that have ended.
pub const MAX_ITEMS: usize = 8192;
/// Accounted size of all items. An item without an outcome counts with the longest result, so that one always
/// fits.
pub const MAX_BYTES: usize = 8 << 20;
/// Accounted size of an item beside its texts: owner, tokens, times and waiters.
pub const ITEM_OVERHEAD_BYTES: usize = 256;
/// Length of an operation key.
pub const MAX_KEY_BYTES: usize = 128;
/// Length of the name of a class, a tenant or a region.
pub const MAX_NAME_BYTES: usize = 64;
/// Length of a body.
pub const MAX_BODY_BYTES: usize = 2 << 10;
/// Length of a result.
pub const MAX_RESULT_BYTES: usize = 4 << 10;
/// Incarnations that wait for the outcome of one key. A client retries at two or three nodos, not at all of
/// them.
pub const MAX_WAITERS: usize = 16;
/// Distinct regions in capacity reports.
pub const MAX_REGIONS: usize = 64;
/// Lost successors after which an item is given up. One loss may be the machine's fault; after three the work
/// is suspected.
pub const MAX_SUCCESSORS: usize = 3;
/// Items that one successor has taken over and not ended. Prevents a cascade in which each loss overloads the
/// next successor.
pub const MAX_TAKEN_OVER: usize = 64;
/// Time that an ended item is kept after both its window and its outcome, so that waiters receive an outcome
/// recorded as the window ends.
pub const ENDED_RETENTION_MS: u64 = 10_000;
/// Size of one view; items that do not fit follow when others are answered. Fits [`MAX_TAKEN_OVER`] items
/// with bodies, and as much again.
pub const MAX_VIEW_BYTES: usize = 256 << 10;
/// Keys that one process owns, awaits or answers; far more than a nodo runs and queues at once.
pub const MAX_LOCAL_ITEMS: usize = 4096;
/// Clients of one process that wait for one key.
pub const MAX_CLIENTS_PER_KEY: u32 = 64;
/// Retries of a call whose answer was lost, where repeating it is safe.
pub const MAX_RETRIES: u32 = 3;
/// Takeovers that the leader proposes in one round: a loss is handled in a few rounds and leaves the log
/// space for others.
pub const MAX_TAKEOVERS_PER_ROUND: usize = 256;
/// Interval of a member's capacity reports; the reported capacity is assumed to be free again after as long.
pub const CAPACITY_REPORT_INTERVAL_MS: u64 = 1_000;
/// Interval at which a waiting process repeats its offer, in case the fleet has forgotten that it waits.
pub const REOFFER_INTERVAL_MS: u64 = 2_000;
