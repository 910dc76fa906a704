// Flags that all stand-ins share.
#pragma once

#include <gflags/gflags.h>

DECLARE_string(listen);
DECLARE_string(domain);
DECLARE_string(service);
DECLARE_uint64(seed);
