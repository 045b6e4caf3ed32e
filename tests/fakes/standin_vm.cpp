#include "fakes/fake_vm.hpp"

#include <csignal>
#include <iostream>

/// Usage: standin_vm ID ZONE RACK PORT AGENT_PORT PLATFORM_PORT LOG [SERVICE_MS]
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc < 8) {
        std::cerr << "usage: standin_vm ID ZONE RACK PORT AGENT_PORT PLATFORM_PORT LOG [SERVICE_MS]\n";
        return 2;
    }
    const auto port = [argv](int index) { return static_cast<std::uint16_t>(std::atoi(argv[index])); };
    fakes::fake_vm_settings settings;
    settings.id = argv[1];
    settings.availability_zone = argv[2];
    settings.rack = argv[3];
    settings.target = {"127.0.0.1", port(4)};
    settings.agent_port = port(5);
    settings.platform = {"127.0.0.1", port(6)};
    settings.log_path = argv[7];
    if (argc > 8) {
        settings.service_time = milliseconds(std::atoi(argv[8]));
    }
    event_loop loop;
    fakes::fake_vm vm(loop, settings);
    if (!vm.start()) {
        std::cerr << "standin_vm: can't bind\n";
        return 1;
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
