//! The nodo: a server on sockets around the jaspershunt module.
//!
//! [`engine`] is the task that owns the module; all input reaches it through one queue, in the
//! protocol-independent types of [`request`]. [`fastcgi`] serves balancers, [`interpreter`] runs the
//! requests, [`database`] and [`directory`] (over [`http`]) are clients of the services shared by all nodos.
//! [`keys`] remembers what may not run twice, [`config`] reads the platform's configuration, [`cli`] is the
//! command line, and [`server`] starts the parts. [`fleet`] makes the nodo a member of a fleet if the
//! operator's file configures one.

pub mod admin;
pub mod capture;
pub mod cli;
pub mod clock;
pub mod config;
pub mod counts;
pub mod database;
pub mod directory;
pub mod engine;
pub mod fastcgi;
pub mod fleet;
pub mod history;
pub mod http;
pub mod interpreter;
pub use jaspershunt_keys as keys;
pub mod log;
pub mod request;
pub mod server;
pub mod socket;
pub mod steering;
pub mod upgrade;
