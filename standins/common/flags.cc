// Definitions of the flags that all stand-ins share.
#include "standins/common/flags.h"

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to serve on; port 0: any");
DEFINE_string(domain, "", "failure domain of this stand-in");
DEFINE_string(service, "", "name of the service that this stand-in serves");
DEFINE_uint64(seed, 1, "seed of everything random");
