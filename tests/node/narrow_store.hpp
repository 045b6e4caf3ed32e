#pragma once

#include "fakes/fault_proxy.hpp"
#include "fakes/platform_store.hpp"

#include <doctest/doctest.h>

namespace siskinpaddle::tests {

/// A store that is reached over a link of limited rate.
struct narrow_store {
    event_loop loop;
    fakes::platform_store store{loop};
    fakes::fault_proxy link;
    std::uint16_t port = 0; ///< Of the link.

    explicit narrow_store(std::size_t bytes_per_s) : link(loop, listen()) {
        port = link.listen();
        REQUIRE(port != 0);
        link.set_rate(bytes_per_s);
    }

  private:
    endpoint listen() {
        REQUIRE(store.listen({"127.0.0.1", 0}));
        return {"127.0.0.1", store.port()};
    }
};

} // namespace siskinpaddle::tests
