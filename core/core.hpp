#pragma once

/// Public header of the core library: identifiers, clock readings, findings, name tables, hashing and
/// checked JSON reading. Nothing here does I/O. Unless a type says otherwise its objects may be used from
/// one thread at a time, and const access from several threads is safe.

#include "core/bounded_archive.hpp"
#include "core/clock.hpp"
#include "core/enum_names.hpp"
#include "core/findings.hpp"
#include "core/hash.hpp"
#include "core/json_object.hpp"
#include "core/random.hpp"
#include "core/settings_file.hpp"
