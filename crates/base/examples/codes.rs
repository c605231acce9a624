//! Prints the table of result codes for `docs/CODES.md`.

use base::Code;

fn main() {
    println!("| code | name | status | outcome at best | again | meaning |");
    println!("| ---: | --- | ---: | --- | --- | --- |");
    for code in Code::ALL {
        let retryable = if code.is_retryable() { "yes" } else { "no" };
        println!(
            "| {} | {code:?} | {} | {} | {retryable} | {} |",
            code.number(),
            code.status(),
            code.outcome().as_str(),
            code.title(),
        );
    }
}
