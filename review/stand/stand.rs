//! Stand-ins and drivers of the review's cases. Standard library only; every address is a loopback address.
//! Usage: stand CASE ROOT TMP RECORD      (the environment variable TROUBLE=0 leaves the disruption out)
//! Exit code: 0 the rule held, 1 the rule was broken, 2 the case could not run.
#![allow(dead_code)]

mod base;
mod bus;
mod case_group;
mod case_nested;
mod case_reload;
mod case_sealed;
mod case_upgrade;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.len() != 5 {
        eprintln!("usage: stand CASE ROOT TMP RECORD");
        std::process::exit(2);
    }
    let run = base::Run::new(&args[2], &args[3], &args[4]);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match args[1].as_str() {
        "sealed" => case_sealed::run(&run),
        "reload" => case_reload::run(&run),
        "group" => case_group::run(&run, false),
        "restart" => case_group::run(&run, true),
        "upgrade" => case_upgrade::run(&run),
        "nested" => case_nested::run(&run),
        other => Err(format!("no such case: {other}")),
    }));
    base::end_all();
    let code = match outcome {
        Ok(Ok(0)) => {
            run.rec("RESULT the rule held");
            0
        }
        Ok(Ok(broken)) => {
            run.rec(&format!("RESULT the rule was broken, {broken} times"));
            1
        }
        Ok(Err(cause)) => {
            run.rec(&format!("RESULT the case could not run: {cause}"));
            2
        }
        Err(_) => {
            run.rec("RESULT the case could not run: panic");
            2
        }
    };
    std::process::exit(code);
}
