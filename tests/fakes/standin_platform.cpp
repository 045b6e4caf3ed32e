#include "fakes/fake_platform.hpp"

#include <csignal>
#include <iostream>

/// Usage: standin_platform PORT LIST_LAG_MS [STATIC_VMS TARGET_PORT]. With static VMs, the process also
/// serves the single target that all of them share.
int main(int argc, char** argv) {
    using namespace siskinpaddle;
    if (argc != 3 && argc != 5) {
        std::cerr << "usage: standin_platform PORT LIST_LAG_MS [STATIC_VMS TARGET_PORT]\n";
        return 2;
    }
    event_loop loop;
    fakes::fake_platform platform(loop, milliseconds(std::atoi(argv[2])));
    if (!platform.listen({"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[1]))})) {
        std::cerr << "standin_platform: can't bind " << argv[1] << "\n";
        return 1;
    }
    http_server target(loop, {},
                       [](const std::shared_ptr<server_request>& from) { from->reply(200, {}, ""); });
    if (argc == 5) {
        const endpoint where{"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[4]))};
        platform.add_static_vms(std::atoi(argv[3]), where);
        if (!target.listen(where)) {
            std::cerr << "standin_platform: can't bind " << argv[4] << "\n";
            return 1;
        }
    }
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
