//! The command line of `redwing-standin`.

mod command;
mod trainer_command;

pub use self::command::standin_main;
