//! Prints the table of `docs/CODES.md`.

use base::Code;

fn main() {
    println!("| code | name | status | outcome at best | again | meaning |");
    println!("| ---: | --- | ---: | --- | --- | --- |");
    for code in Code::ALL {
        let again = if code.is_retryable() { "yes" } else { "no" };
        println!(
            "| {} | {code:?} | {} | {} | {again} | {} |",
            code.number(),
            code.status(),
            code.outcome().as_str(),
            code.title(),
        );
    }
}
