#pragma once

/// Public header of the core library: binary archives, clock types, findings, name tables, hashing, random
/// numbers and validated JSON reading. Only parse_json_file() and load_settings() do I/O. Unless a type
/// states otherwise, its objects may be used by one thread at a time, and const access from several threads
/// is safe.

#include "core/bounded_archive.hpp"
#include "core/clock.hpp"
#include "core/enum_names.hpp"
#include "core/findings.hpp"
#include "core/hash.hpp"
#include "core/json_object.hpp"
#include "core/random.hpp"
#include "core/settings_file.hpp"
