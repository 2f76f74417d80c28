fn main() -> std::process::ExitCode {
    redwingpond::operator::agent_main()
}
