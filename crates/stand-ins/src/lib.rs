//! Fakes (scripted test servers) for everything that a nodo communicates with, written from the platform's
//! protocol page and the public specifications of HTTP/1.1 and FastCGI 1.0. They share no protocol code with
//! the nodo, so that an error on either side shows up as a mismatch.
//!
//! Each listens on a loopback port chosen by the system, follows its script, and records its traffic; tests
//! and experiments treat the records as authoritative. All require a `LocalSet` on one thread.
//!
//! - [`dependency`]: has a fixed number of slots, slows down under overload, and can be slow, failing,
//!   refusing, hanging or down.
//! - [`disk`]: a simulated disk that loses unsynced writes, tears writes, runs full and fails.
//! - [`fleet`]: several nodos as one fleet with breakable links.
//! - [`interpreter`]: runs requests on a fixed number of cores, makes calls, and lists in each result what it
//!   received.
//! - [`directory`]: accepts reports.
//! - [`balancer`]: sends requests over FastCGI and reads the answers.
//! - [`link`]: a relay between two processes that can be cut, slowed and reset in each direction.
//! - [`partial`]: a fleet in three regions with keyed work, faults of all kinds, and histories.
//! - [`process`]: a child process that can be paused, resumed and killed.
//! - [`resource`]: what the tasks of a fleet call; records who acted when.
//! - [`nodo`]: one nodo across several incarnations, with its interpreters, directory and balancers.
//! - [`script`]: schedules of a dependency's faults, listed or drawn from a seed.
//! - [`wire`]: a raw balancer connection for partial requests, closes and resets.
//! - [`truth`]: checks a nodo's answers against the records.

pub mod balancer;
pub mod dependency;
pub mod directory;
pub mod disk;
pub mod fleet;
mod http;
pub mod interpreter;
pub mod link;
pub mod nodo;
pub mod partial;
pub mod process;
pub mod resource;
pub mod script;
pub mod truth;
pub mod wire;
