fn main() -> std::process::ExitCode {
    redwing_standins::demo::demo_main()
}
