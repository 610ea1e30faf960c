//! FastCGI 1.0, in the role of an application that answers as Responder: [`records`] has its records, parameters and
//! answers, [`requests`] puts requests together from records within the budgets of [`memory`], and [`connection`] does
//! both on sockets.

pub mod connection;
pub mod memory;
pub mod records;
pub mod requests;
