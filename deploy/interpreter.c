/* A Python interpreter that ignores SIGHUP while it starts and returns large buffers to the system.
 *
 * The default action of SIGHUP ends a process.  A Python program can change that only once the
 * interpreter has started, which takes some 10 ms; libpython is opened after the signal is ignored,
 * since loading it takes longer than the rest.
 */

#include <dlfcn.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#define EXIT_NO_INTERPRETER 127

/* Sizes in bytes.  By default glibc raises both thresholds when a large buffer is freed; the next
 * ones then come from the heap, which keeps their memory.
 */
#define MAPPED_BUFFER_BYTES (256 * 1024)
#define KEPT_HEAP_BYTES (2 * 1024 * 1024)

int main(int argc, char **argv)
{
    signal(SIGHUP, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, MAPPED_BUFFER_BYTES);
    mallopt(M_TRIM_THRESHOLD, KEPT_HEAP_BYTES);
    /* Extension modules find the interpreter's symbols only in a global library. */
    void *library = dlopen(LIBPYTHON, RTLD_NOW | RTLD_GLOBAL);
    int (*run)(int, char **) = NULL;
    if (library != NULL)
        *(void **)&run = dlsym(library, "Py_BytesMain");
    if (run == NULL) {
        fprintf(stderr, "%s: %s; build again\n", argv[0], dlerror());
        return EXIT_NO_INTERPRETER;
    }
    return run(argc, argv);
}
