fn main() -> std::process::ExitCode {
    redwingpond::operator::entry_main()
}
