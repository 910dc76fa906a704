// Flags that several commands share.
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(address);
DECLARE_bool(json);
DECLARE_int32(timeout_s);
