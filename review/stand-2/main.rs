//! Stand-ins and cases of the review. Each case is a word on the command line.

mod cell;
mod fleet;
mod gateway;
mod group;
mod nested;
mod silent;
mod util;
mod world;

fn main() {
    // A run ends by itself well before this.
    std::thread::spawn(|| {
        util::sleep_ms(116_000);
        println!("the run took too long");
        std::process::exit(2)
    });
    let words: Vec<String> = std::env::args().collect();
    let record = util::Record::create(&std::env::var("RECORD").expect("RECORD"));
    match words.get(1).map(String::as_str) {
        Some("cell") => cell::run(&record),
        Some("silent") => silent::run(&record),
        Some("group") => group::run(&record),
        Some("nested") => nested::run(&record),
        other => panic!("no such case: {other:?}"),
    }
}
