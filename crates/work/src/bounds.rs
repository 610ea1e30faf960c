//! Every bound of the work in hand. The whole part has [`MAX_BYTES`] at most, beside its index.

/// Items of which anything is known, in all stages. Ours: ten a nodo at 300 nodos, with as many again of ended ones.
pub const MAX_ITEMS: usize = 8192;
/// Bytes of all items. An item that has no outcome counts with the longest result, so that an outcome always has room.
pub const MAX_BYTES: usize = 8 << 20;
/// Bytes that an item counts beside its texts: owner, tokens, times, waiters.
pub const ITEM_OVERHEAD_BYTES: usize = 256;
/// Bytes of an operation key.
pub const MAX_KEY_BYTES: usize = 128;
/// Bytes of a class, a tenant and a region.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a body.
pub const MAX_BODY_BYTES: usize = 2 << 10;
/// Bytes of a result.
pub const MAX_RESULT_BYTES: usize = 4 << 10;
/// Starts that wait for the end of one key. Ours: a client asks again at two or three nodos, not at all.
pub const MAX_WAITERS: usize = 16;
/// Regions that members name.
pub const MAX_REGIONS: usize = 64;
/// After so many heirs in turn that were lost an item is given up. Ours: one loss may be the machine's, three are the work's.
pub const MAX_SUCCESSORS: usize = 3;
/// Items that one heir has taken over and not ended. Guards against a wave: a loss that brings down its heir, and so on.
pub const MAX_TAKEN_OVER: usize = 64;
/// An ended item stays so long after its window and its end, in milliseconds, so that those who wait hear of an end that came with
/// the window's own.
pub const ENDED_RETENTION_MS: u64 = 10_000;
/// Bytes of what a start is shown at once; what does not fit is shown when the rest is answered. Ours: an heir's whole
/// [`MAX_TAKEN`] with bodies, and as much again.
pub const MAX_VIEW_BYTES: usize = 256 << 10;
/// Keys that one process has in hand, awaits or answers. Ours: far beyond what a nodo runs and queues at once.
pub const MAX_LOCAL_ITEMS: usize = 4096;
/// Clients of one process that wait for one key.
pub const MAX_CLIENTS_PER_KEY: u32 = 64;
/// A call whose answer was lost is made so often, where that does no harm.
pub const MAX_RETRIES: u32 = 3;
/// Takeovers of one round of the one that leads. Ours: a loss is passed on in a few rounds, and the log has room for others.
pub const MAX_TAKEOVERS_PER_ROUND: usize = 256;
/// A member tells its room so often; what it told is taken to be free again after as long.
pub const CAPACITY_REPORT_INTERVAL_MS: u64 = 1_000;
/// What is waited for is asked for again so often, in milliseconds, should the fleet have forgotten who waits.
pub const REOFFER_INTERVAL_MS: u64 = 2_000;
