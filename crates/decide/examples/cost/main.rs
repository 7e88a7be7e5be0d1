//! Measures the cost of a decision, a request and its end, at current and at design sizes.
//!
//! `cargo run --release -p bilberryfront-decide --example cost`

mod bench;

fn main() {
    bench::run();
}
