//! FastCGI 1.0, in the role of an application that answers as Responder: [`records`] has its records, parameters and
//! answers, [`requests`] puts requests together from records within the budgets of [`memory`], [`connection`] does
//! both on one socket, and [`connections`] holds all of these.

mod connection;
pub mod connections;
pub mod memory;
mod params;
pub mod records;
pub mod requests;
