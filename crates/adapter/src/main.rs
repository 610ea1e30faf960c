//! Runs the adapter on standard input and output.
use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 16, stdin().lock());
    let output = BufWriter::with_capacity(1 << 16, stdout().lock());
    match jaspershunt_adapter::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("jaspershunt-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
